//! Objects that operators publish, and the snapshot compiled from them.
//!
//! Operators write named objects as JSON with comments. The whole set is
//! checked as one, and only a set without errors compiles to a [`Snapshot`],
//! which the entry hosts read on every request.
//!
//! # Parts
//!
//! * [`ObjectSet`] holds the objects as written: [`Workspace`], [`Key`],
//!   [`Route`], [`Service`], [`AvailabilityZone`] and [`Limit`].
//! * [`Snapshot`] is the compiled set, with look-ups by key and by path.
//! * [`read_settings`] reads settings files with the same care.
//! * [`ObjectError`] tells what is wrong, with file, object, field and line.
//!
//! # Example
//!
//! ```
//! use mangostep_objects::ObjectSet;
//!
//! let text = r#"{ "objects": [
//!     // One availability zone is enough for a start.
//!     { "kind": "zone", "name": "a", "region": "home" },
//! ] }"#;
//! let set = ObjectSet::from_text("zones.jsonc", text)?;
//! assert_eq!(set.zones.len(), 1);
//! # Ok::<(), mangostep_objects::ObjectError>(())
//! ```

mod check;
mod error;
mod objects;
mod path;
mod route_index;
mod set;
mod snapshot;
mod source;

pub use crate::{
    error::{ObjectError, ObjectFault},
    objects::{
        AvailabilityZone, CallerLimits, Key, KeyDigest, Limit, PathMatch, RequestKind, Route,
        RouteAccess, Service, ServiceDialect, WeightedService, Workspace, ZoneState,
    },
    path::{NormalPath, normalize_host},
    set::ObjectSet,
    snapshot::{RouteTarget, Snapshot},
    source::read_settings,
};
