//! Divides a route's traffic among its services exactly by weight.

use crate::catalog::Route;
use rand::Rng;
use std::collections::HashMap;

/// Smooth weighted round robin for each route: over any run of requests each part's count is
/// within one of its exact share.
#[derive(Clone, Debug, Default)]
pub(crate) struct Splits {
    credits: HashMap<String, Vec<f64>>,
}

impl Splits {
    /// The service of the route's next request.
    pub(crate) fn next(&mut self, route: &Route, rng: &mut impl Rng) -> String {
        if let [only] = route.split.as_slice() {
            return only.service.clone();
        }
        let total: f64 = route.split.iter().map(|part| f64::from(part.weight)).sum();
        // Another split of the same route begins anew.
        let key = route.split.iter().fold(route.name.clone(), |key, part| {
            format!("{key}/{}={}", part.service, part.weight)
        });
        // At a random place, so that nodes do not all begin alike.
        let credits = self.credits.entry(key).or_insert_with(|| {
            let drawn = rng.random_range(0.0..total);
            route.split.iter().map(|part| drawn * f64::from(part.weight) / total).collect()
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
