//! Sizes of the answers of each route.

use hemlockfall_core::ids::RouteName;

/// Weight of the newest answer in the mean size.
const ROUTE_SMOOTHING: f64 = 0.1;
/// The same for the mean over all routes, which differ much in size.
const OVERALL_SMOOTHING: f64 = 0.01;
/// Routes whose sizes are kept.
const MAX_ROUTES: usize = 128;

/// `AnswerSizes` keeps the mean size of each route's answers.
#[derive(Debug, Default)]
pub struct AnswerSizes {
    /// Sorted by route; sizes in KiB.
    means: Vec<(RouteName, f64)>,
    /// Mean over all routes, in KiB.
    overall: Option<f64>,
}

impl AnswerSizes {
    /// `add` takes in the size of an answer's body.
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

    /// `overall_kib` is the mean size of all answers, if any was seen.
    #[must_use]
    pub fn overall_kib(&self) -> Option<f64> {
        self.overall
    }

    /// `kib` is the mean size of a route's answers, if any was seen.
    #[must_use]
    pub fn kib(&self, route: &str) -> Option<f64> {
        let index = self
            .means
            .binary_search_by(|(name, _)| name.as_str().cmp(route))
            .ok()?;
        self.means.get(index).map(|(_, kib)| *kib)
    }
}
