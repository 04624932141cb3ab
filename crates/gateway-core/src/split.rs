//! Distributes a route's requests over its services by weight.

use std::collections::HashMap;

use crate::config::Route;

/// Smooth weighted round robin for each route. After any number of requests, each service has
/// received its weighted share to within one request.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    seed: u64,
    /// Credits of the services by route name.
    credits: HashMap<String, Vec<Credit>>,
}

/// Round-robin state of one service.
#[derive(Debug)]
struct Credit {
    service: String,
    weight: u32,
    value: i64,
}

impl WeightedRoundRobin {
    /// Creates the state at a point of the cycle that depends on `seed`, so that nodes are not
    /// synchronized.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            credits: HashMap::new(),
        }
    }

    /// Returns the service for the next request of a route, or `None` if the route has none.
    pub fn next_service(&mut self, route: &Route) -> Option<String> {
        if let [only] = route.services.as_slice() {
            return Some(only.service.clone());
        }
        let total: i64 = route
            .services
            .iter()
            .map(|part| i64::from(part.weight))
            .sum();
        let seed = self.seed;
        let credits = self.credits.entry(route.name.clone()).or_default();
        if !matches_route(credits, route) {
            *credits = initial_credits(route, total, seed);
        }
        for credit in credits.iter_mut() {
            credit.value += i64::from(credit.weight);
        }
        let chosen = credits
            .iter_mut()
            .filter(|credit| credit.weight > 0)
            .max_by_key(|credit| credit.value)?;
        chosen.value -= total;
        Some(chosen.service.clone())
    }
}

/// Returns whether the credits are for the route's current services and weights.
fn matches_route(credits: &[Credit], route: &Route) -> bool {
    credits.len() == route.services.len()
        && credits
            .iter()
            .zip(&route.services)
            .all(|(credit, part)| credit.service == part.service && credit.weight == part.weight)
}

/// Returns initial credits shifted by `seed`.
fn initial_credits(route: &Route, total: i64, seed: u64) -> Vec<Credit> {
    let cycle = u64::try_from(total.max(1)).unwrap_or(1);
    let shift = i64::try_from(seed % cycle).unwrap_or(0);
    let mut sign = 1;
    route
        .services
        .iter()
        .map(|part| {
            sign = -sign;
            Credit {
                service: part.service.clone(),
                weight: part.weight,
                value: sign * shift / 2,
            }
        })
        .collect()
}
