use std::collections::HashMap;

use crate::{NormalPath, PathMatch, Route, normalize_host};

/// Routes indexed by host name and path. A look-up needs one hash look-up for
/// each segment of the path, independent of the number of routes.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteIndex {
    routes: Vec<Route>,
    /// Position from which on the routes are disabled.
    disabled_from: usize,
    by_host: HashMap<String, PathMap>,
    any_host: PathMap,
    /// Indices of literal routes by host name, which is empty for any host, and
    /// by path prefix with its trailing slash.
    literal: HashMap<String, HashMap<String, usize>>,
}

/// Indices of routes by path prefix without its trailing slash.
type PathMap = HashMap<String, Vec<usize>>;

impl RouteIndex {
    /// Iterates over all routes in the order of the object set.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Route> {
        self.routes.iter()
    }

    /// Builds the index of usable and disabled routes. Of two routes that match
    /// the same requests, the first usable one is found.
    pub(crate) fn build(usable: &[Route], disabled: &[Route]) -> Self {
        let routes: Vec<Route> = usable.iter().chain(disabled).cloned().collect();
        let mut index = RouteIndex {
            disabled_from: usable.len(),
            ..Default::default()
        };
        for (position, route) in routes.iter().enumerate() {
            if route.path_match == PathMatch::Literal {
                let host = route.host.as_deref().map(normalize_host);
                let prefixes = index.literal.entry(host.unwrap_or_default()).or_default();
                prefixes.entry(route.path.clone()).or_insert(position);
                continue;
            }
            let paths = match &route.host {
                Some(host) => index.by_host.entry(normalize_host(host)).or_default(),
                None => &mut index.any_host,
            };
            let key = route.path.trim_end_matches('/').to_owned();
            paths.entry(key).or_default().push(position);
        }
        let maps = index
            .by_host
            .values_mut()
            .chain(std::iter::once(&mut index.any_host));
        for positions in maps.flat_map(HashMap::values_mut) {
            positions.sort_by_key(|position| routes[*position].methods.is_empty());
        }
        index.routes = routes;
        index
    }

    /// Whether a route of this index is disabled.
    pub(crate) fn is_disabled(&self, route: &Route) -> bool {
        let disabled = &self.routes[self.disabled_from..];
        disabled.iter().any(|other| std::ptr::eq(other, route))
    }

    pub(crate) fn find(&self, host: &str, path: &NormalPath, method: &str) -> Option<&Route> {
        let exact_host = self.by_host.get(&normalize_host(host));
        let maps = exact_host
            .into_iter()
            .chain(std::iter::once(&self.any_host));
        for paths in maps {
            if let Some(route) = self.find_in(paths, path, method) {
                return Some(route);
            }
        }
        None
    }

    pub(crate) fn find_literal(&self, host: &str, path: &str) -> Option<&Route> {
        let host = normalize_host(host);
        let host_keys = [host.as_str(), ""];
        let maps = host_keys
            .into_iter()
            .filter_map(|name| self.literal.get(name));
        for prefixes in maps {
            let mut rest = path;
            while let Some(slash) = rest.rfind('/') {
                if let Some(position) = prefixes.get(&path[..=slash]) {
                    return Some(&self.routes[*position]);
                }
                rest = &path[..slash];
            }
        }
        None
    }

    fn find_in(&self, paths: &PathMap, path: &NormalPath, method: &str) -> Option<&Route> {
        let mut prefix = path.as_str().trim_end_matches('/');
        loop {
            let candidates = paths.get(prefix).map_or(&[][..], Vec::as_slice);
            for position in candidates {
                let route = &self.routes[*position];
                if route.methods.is_empty() || route.methods.iter().any(|m| m == method) {
                    return Some(route);
                }
            }
            prefix = &prefix[..prefix.rfind('/')?];
        }
    }
}
