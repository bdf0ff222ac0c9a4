//! Selection of the route of a request, and of one of the services of a route.

use std::rc::Rc;

use hemlockfall_core::ids::RouteName;
use hemlockfall_core::ids::ServiceName;

use crate::model::MeshConfig;
use crate::model::Route;

/// Routing table of the configuration in force.
#[derive(Debug, Default)]
pub struct Router {
    /// Sorted by host and path prefix.
    routes: Vec<Rc<Route>>,
    /// Sorted by route name.
    splits: Vec<Split>,
}

/// Smooth weighted round robin over the services of one route.
#[derive(Clone, Debug)]
struct Split {
    route: RouteName,
    /// Weights that the credits were computed with; the credits are reset when they change.
    weights: Vec<u32>,
    /// Credit of each service; the one with the largest credit gets the next request.
    credits: Vec<i64>,
}

impl Router {
    /// Replaces the routes. The round robin of a route continues if its weights are unchanged.
    pub fn load(&mut self, config: &MeshConfig) {
        let mut routes: Vec<Rc<Route>> = config.routes.iter().cloned().map(Rc::new).collect();
        routes.sort_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
        self.splits
            .retain(|split| config.routes.iter().any(|route| route.name == split.route));
        self.routes = routes;
    }

    /// Returns the route of a host with the longest prefix that matches the path.
    #[must_use]
    pub fn select(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        // Path prefixes end with a slash, so each candidate is the path up to one of its slashes.
        let slashes = path
            .bytes()
            .enumerate()
            .rev()
            .filter(|(_, byte)| *byte == b'/');
        for (index, _) in slashes {
            let prefix = &path[..=index];
            let found = self.routes.binary_search_by(|route| {
                (route.host.as_str(), route.path_prefix.as_str()).cmp(&(host, prefix))
            });
            if let Ok(index) = found {
                return self.routes.get(index).cloned();
            }
        }
        None
    }

    /// Returns the service that gets the next request of a route.
    pub fn choose_service(&mut self, route: &Route) -> Option<ServiceName> {
        let [first, rest @ ..] = route.services.as_slice() else {
            return None;
        };
        if rest.is_empty() {
            return Some(first.service.clone());
        }
        let split = self.split(route);
        let total: i64 = split.weights.iter().copied().map(i64::from).sum();
        for (credit, weight) in split.credits.iter_mut().zip(&split.weights) {
            *credit += i64::from(*weight);
        }
        let (index, _) = split
            .credits
            .iter()
            .enumerate()
            .max_by_key(|(_, credit)| **credit)?;
        split.credits[index] -= total;
        route.services.get(index).map(|entry| entry.service.clone())
    }

    /// Returns the service that [`Self::choose_service`] would return, without advancing the round
    /// robin.
    #[must_use]
    pub fn next_service(&self, route: &Route) -> Option<ServiceName> {
        let of_route = |split: &&Split| split.route == route.name;
        let mut copy = Self {
            routes: Vec::new(),
            splits: self.splits.iter().filter(of_route).cloned().collect(),
        };
        copy.choose_service(route)
    }

    fn split(&mut self, route: &Route) -> &mut Split {
        let weights: Vec<u32> = route.services.iter().map(|entry| entry.weight).collect();
        let index = match self
            .splits
            .binary_search_by(|split| split.route.cmp(&route.name))
        {
            Ok(index) => index,
            Err(index) => {
                let credits = vec![0; weights.len()];
                let split = Split {
                    route: route.name.clone(),
                    weights: weights.clone(),
                    credits,
                };
                self.splits.insert(index, split);
                index
            }
        };
        let split = &mut self.splits[index];
        if split.weights != weights {
            split.credits = vec![0; weights.len()];
            split.weights = weights;
        }
        split
    }
}
