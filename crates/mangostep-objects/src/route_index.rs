use std::collections::HashMap;

use crate::{NormalPath, PathMatch, Route, normalize_host};

/// Routes by host name and path, so that a look-up costs one hash for each
/// segment of the path, however many routes there are.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteIndex {
    routes: Vec<Route>,
    by_host: HashMap<String, PathMap>,
    any_host: PathMap,
    /// Routes that are matched literally, by host name and whole prefix.
    literal: HashMap<String, HashMap<String, usize>>,
}

/// Indices of routes by path without the trailing slash.
type PathMap = HashMap<String, Vec<usize>>;

impl RouteIndex {
    /// All routes, in the order of the set.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Route> {
        self.routes.iter()
    }

    pub(crate) fn build(routes: &[Route]) -> Self {
        let mut index = RouteIndex {
            routes: routes.to_vec(),
            ..Default::default()
        };
        for (at, route) in routes.iter().enumerate() {
            if route.path_match == PathMatch::Literal {
                let host = route.host.as_deref().map(normalize_host);
                let prefixes = index.literal.entry(host.unwrap_or_default()).or_default();
                prefixes.insert(route.path.clone(), at);
                continue;
            }
            let paths = match &route.host {
                Some(host) => index.by_host.entry(normalize_host(host)).or_default(),
                None => &mut index.any_host,
            };
            let key = route.path.trim_end_matches('/').to_owned();
            paths.entry(key).or_default().push(at);
        }
        let maps = index
            .by_host
            .values_mut()
            .chain(std::iter::once(&mut index.any_host));
        for list in maps.flat_map(HashMap::values_mut) {
            list.sort_by_key(|at| routes[*at].methods.is_empty());
        }
        index
    }

    pub(crate) fn find(&self, host: &str, path: &NormalPath, method: &str) -> Option<&Route> {
        let named = self.by_host.get(&normalize_host(host));
        let maps = named.into_iter().chain(std::iter::once(&self.any_host));
        for paths in maps {
            if let Some(route) = self.find_in(paths, path, method) {
                return Some(route);
            }
        }
        None
    }

    pub(crate) fn find_literal(&self, host: &str, path: &str) -> Option<&Route> {
        let host = normalize_host(host);
        let named = [host.as_str(), ""];
        let maps = named.into_iter().filter_map(|name| self.literal.get(name));
        for prefixes in maps {
            let mut rest = path;
            while let Some(slash) = rest.rfind('/') {
                if let Some(at) = prefixes.get(&path[..=slash]) {
                    return Some(&self.routes[*at]);
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
            for at in candidates {
                let route = &self.routes[*at];
                if route.methods.is_empty() || route.methods.iter().any(|m| m == method) {
                    return Some(route);
                }
            }
            prefix = &prefix[..prefix.rfind('/')?];
        }
    }
}
