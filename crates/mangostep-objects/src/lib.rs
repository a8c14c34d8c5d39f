//! Configuration objects written by operators, and the snapshot compiled from
//! them.
//!
//! Operators write named objects as JSON with comments. The set of all objects
//! is validated as a whole, and only a valid set is compiled to a [`Snapshot`],
//! which the entry hosts read on every request.
//!
//! # Overview
//!
//! * [`ObjectSet`] holds the objects as written: [`Workspace`], [`Key`],
//!   [`Route`], [`Service`], [`AvailabilityZone`] and [`Limit`].
//! * [`FollowedSet`] disables the invalid objects of a set that another program
//!   published, so that the others stay in force.
//! * [`Snapshot`] is the compiled set, indexed by key and by path.
//! * [`read_settings`] reads a settings file in the same syntax, with errors of
//!   the same form.
//! * [`ObjectError`] lists all faults, each with file, line, object and field.
//!
//! # Example
//!
//! ```
//! use mangostep_objects::ObjectSet;
//!
//! let text = r#"{ "objects": [
//!     // A single availability zone is enough to start with.
//!     { "kind": "zone", "name": "a", "region": "home" },
//! ] }"#;
//! let set = ObjectSet::from_text("zones.jsonc", text)?;
//! assert_eq!(set.zones.len(), 1);
//! # Ok::<(), mangostep_objects::ObjectError>(())
//! ```

mod check;
mod error;
mod followed_set;
mod objects;
mod path;
mod route_index;
mod set;
mod snapshot;
mod source;

pub use crate::{
    error::{ObjectError, ObjectFault},
    followed_set::{DisabledObjects, FollowedSet},
    objects::{
        AvailabilityZone, CallerLimits, Key, KeyDigest, Limit, LoadBalancing, PathMatch,
        RequestKind, Route, RouteAccess, Service, ServiceDialect, WeightedService, Workspace,
        ZoneState,
    },
    path::{NormalPath, normalize_host},
    set::ObjectSet,
    snapshot::{RouteTarget, Snapshot},
    source::read_settings,
};
