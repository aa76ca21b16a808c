//! Divides a route's traffic among its services by weight.

use crate::catalog::Route;
use rand::Rng;
use std::collections::HashMap;

/// Smooth weighted round robin for each route: over any run of requests each part's count is within
/// one of its exact share.
#[derive(Clone, Debug, Default)]
pub(crate) struct Splits {
    credits: HashMap<String, Vec<f64>>,
}

impl Splits {
    /// Selects the service of the route's next request.
    pub(crate) fn next(&mut self, route: &Route, rng: &mut impl Rng) -> String {
        if let [only] = route.split.as_slice() {
            return only.service.clone();
        }
        let total: f64 = route.split.iter().map(|part| f64::from(part.weight)).sum();
        // A changed split of a route starts with new credits.
        let key = route.split.iter().fold(route.name.clone(), |key, part| {
            format!("{key}/{}={}", part.service, part.weight)
        });
        // Starts at a random point, so that nodes don't all start with the same service.
        let credits = self.credits.entry(key).or_insert_with(|| {
            let offset = rng.random_range(0.0..total);
            route.split.iter().map(|part| offset * f64::from(part.weight) / total).collect()
        });
        for (credit, part) in credits.iter_mut().zip(&route.split) {
            *credit += f64::from(part.weight);
        }
        let best = (0..credits.len())
            .max_by(|left, right| credits[*left].total_cmp(&credits[*right]))
            .unwrap_or(0);
        credits[best] -= total;
        route.split[best].service.clone()
    }
}
