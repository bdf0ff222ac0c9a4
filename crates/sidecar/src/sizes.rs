//! Mean sizes of the answers of each route.

use hemlockfall_core::ids::RouteName;

/// Weight of the newest answer in the moving average of its route.
const ROUTE_SMOOTHING: f64 = 0.1;
/// Weight of the newest answer in the moving average over all routes. It is smaller, as the sizes
/// of different routes differ much.
const OVERALL_SMOOTHING: f64 = 0.01;
/// Largest number of routes with a mean; one route more discards all means.
const MAX_ROUTES: usize = 128;

/// Moving averages of the sizes of answers, by route and over all routes.
#[derive(Debug, Default)]
pub struct AnswerSizes {
    /// Mean by route in KiB, sorted by route.
    means: Vec<(RouteName, f64)>,
    /// Mean over all routes, in KiB.
    overall: Option<f64>,
}

impl AnswerSizes {
    /// Adds the size of an answer's body.
    pub fn add(&mut self, route: &RouteName, body_bytes: usize) {
        let bytes = u32::try_from(body_bytes).unwrap_or(u32::MAX);
        let kib = f64::from(bytes) / 1024.0;
        let overall = self.overall.get_or_insert(kib);
        *overall += (kib - *overall) * OVERALL_SMOOTHING;
        match self.means.binary_search_by(|(name, _)| name.cmp(route)) {
            Ok(index) => {
                let mean = &mut self.means[index].1;
                *mean += (kib - *mean) * ROUTE_SMOOTHING;
            }
            Err(index) if self.means.len() < MAX_ROUTES => {
                self.means.insert(index, (route.clone(), kib));
            }
            Err(_) => self.means.clear(),
        }
    }

    /// Returns the mean size of all answers, if any was added.
    #[must_use]
    pub fn overall_kib(&self) -> Option<f64> {
        self.overall
    }

    /// Returns the mean size of a route's answers, if any was added.
    #[must_use]
    pub fn kib(&self, route: &str) -> Option<f64> {
        let index = self
            .means
            .binary_search_by(|(name, _)| name.as_str().cmp(route))
            .ok()?;
        self.means.get(index).map(|(_, kib)| *kib)
    }
}
