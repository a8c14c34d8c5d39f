use std::collections::{HashMap, HashSet};

use crate::{
    Key, ObjectFault, ObjectSet, Route, Workspace,
    check::{CheckStrictness, LocatedFault, SetChecker},
    source::ObjectLocations,
};

/// A set of objects that another program published, with its invalid objects
/// disabled.
///
/// A host must not refuse a whole configuration because of one object that it
/// does not understand. A publishing operator gets all faults from
/// [`ObjectSet::check`] instead.
///
/// # Example
///
/// ```
/// use mangostep_objects::{FollowedSet, ObjectSet};
///
/// let text = r#"{ "objects": [
///     { "kind": "workspace", "name": "shop-1", "limit": "missing" },
///     { "kind": "workspace", "name": "shop-2" },
/// ] }"#;
/// let mut followed = FollowedSet {
///     set: ObjectSet::from_text("shops.jsonc", text)?,
///     ..Default::default()
/// };
/// followed.disable_invalid();
/// assert_eq!(followed.set.workspaces[0].name, "shop-2");
/// assert_eq!(followed.disabled.workspaces[0].name, "shop-1");
/// # Ok::<(), mangostep_objects::ObjectError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FollowedSet {
    /// Objects in force.
    pub set: ObjectSet,
    /// Objects that cannot be used.
    pub disabled: DisabledObjects,
    /// What is wrong with objects that are disabled or left out.
    pub faults: Vec<ObjectFault>,
}

/// Objects that requests may name but that cannot be used. Such requests are
/// rejected instead of being handled by other objects.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DisabledObjects {
    /// Routes whose service or limits are unknown.
    pub routes: Vec<Route>,
    /// Workspaces whose limit is unknown.
    pub workspaces: Vec<Workspace>,
    /// Keys of disabled workspaces.
    pub keys: Vec<Key>,
}

impl FollowedSet {
    /// Disables the routes and workspaces that are invalid and leaves out other
    /// invalid objects, until the rest is valid.
    ///
    /// Of two objects with the same name, and of two routes that match the same
    /// requests, the first stays in force.
    pub fn disable_invalid(&mut self) {
        self.rename_duplicate_routes();
        loop {
            let locations = ObjectLocations::new();
            let checker = SetChecker::new(&self.set, &locations, CheckStrictness::Following);
            let located = checker.check_located();
            let is_done = !located.iter().any(|located| located.is_fatal);
            self.remove_invalid(&located);
            for LocatedFault { fault, .. } in located {
                if !self.faults.contains(&fault) {
                    self.faults.push(fault);
                }
            }
            if is_done {
                return;
            }
        }
    }

    /// Gives routes with the name of an earlier route a name of their own,
    /// since leaving them out would expose their requests to other routes.
    fn rename_duplicate_routes(&mut self) {
        let mut seen: HashSet<String> = HashSet::new();
        for (index, route) in self.set.routes.iter_mut().enumerate() {
            if seen.insert(route.name.clone()) {
                continue;
            }
            self.faults.push(ObjectFault {
                file: String::new(),
                line: 0,
                object: format!("route {}", route.name),
                field: "name".to_owned(),
                message: format!("there is another route `{}`", route.name),
            });
            route.name = format!("{}~{index}", route.name);
            seen.insert(route.name.clone());
        }
    }

    fn remove_invalid(&mut self, located: &[LocatedFault]) {
        let mut invalid: HashMap<&str, HashSet<usize>> = HashMap::new();
        for located in located.iter().filter(|located| located.is_fatal) {
            let indices = invalid.entry(located.kind).or_default();
            indices.insert(located.index);
        }
        let mut take = |kind: &str| invalid.remove(kind).unwrap_or_default();
        let (set, disabled) = (&mut self.set, &mut self.disabled);
        drop(remove_indices(&mut set.zones, &take("zone")));
        drop(remove_indices(&mut set.services, &take("service")));
        drop(remove_indices(&mut set.limits, &take("limit")));
        let workspaces = remove_indices(&mut set.workspaces, &take("workspace"));
        for workspace in workspaces {
            let is_duplicate = set.workspaces.iter().any(|w| w.name == workspace.name);
            if !is_duplicate {
                disabled.workspaces.push(workspace);
            }
        }
        for key in remove_indices(&mut set.keys, &take("key")) {
            let is_disabled = disabled.workspaces.iter().any(|w| w.name == key.workspace);
            if is_disabled {
                disabled.keys.push(key);
            }
        }
        disabled
            .routes
            .extend(remove_indices(&mut set.routes, &take("route")));
    }
}

/// Removes the objects at the given indices and returns them.
fn remove_indices<T>(objects: &mut Vec<T>, indices: &HashSet<usize>) -> Vec<T> {
    let (mut kept, mut removed) = (Vec::new(), Vec::new());
    for (index, object) in std::mem::take(objects).into_iter().enumerate() {
        match indices.contains(&index) {
            true => removed.push(object),
            false => kept.push(object),
        }
    }
    *objects = kept;
    removed
}
