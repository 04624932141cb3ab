//! The weight store, rate limited by a token bucket.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_platform_api::weights::WeightsResponse;
use elderworks_types::{ModelName, Timestamp};

/// Limits of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsSettings {
    /// Requests that may be made at once.
    pub burst: u32,
    /// Time after which one more request may be made.
    pub interval: Duration,
}

impl Default for WeightsSettings {
    fn default() -> Self {
        Self {
            burst: 4,
            interval: Duration::from_secs(1),
        }
    }
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WeightsOutcome {
    /// The weights.
    Found(WeightsResponse),
    /// The store has no such model.
    NotFound,
    /// Too many requests; the next may be made after this time.
    Limited(Duration),
}

/// Weights by model.
pub struct WeightsModel {
    settings: WeightsSettings,
    weights: BTreeMap<ModelName, WeightsResponse>,
    available: u32,
    refilled: Timestamp,
}

impl WeightsModel {
    /// A store of these weights, with its whole burst available.
    pub fn new(settings: WeightsSettings, weights: Vec<WeightsResponse>) -> Self {
        let available = settings.burst;
        let by_model = |weights: WeightsResponse| (weights.model.clone(), weights);
        Self {
            settings,
            weights: weights.into_iter().map(by_model).collect(),
            available,
            refilled: Timestamp::default(),
        }
    }

    /// Takes a request. One for a model that does not exist counts as well.
    pub fn request(&mut self, now: Timestamp, model: &ModelName) -> WeightsOutcome {
        self.refill(now);
        if self.available == 0 {
            let next = self.refilled + self.settings.interval;
            return WeightsOutcome::Limited(next.since(now));
        }
        self.available -= 1;
        match self.weights.get(model) {
            Some(weights) => WeightsOutcome::Found(weights.clone()),
            None => WeightsOutcome::NotFound,
        }
    }

    fn refill(&mut self, now: Timestamp) {
        let interval_micros = self.settings.interval.as_micros().max(1) as u64;
        let earned = now.since(self.refilled).as_micros() as u64 / interval_micros;
        let room = u64::from(self.settings.burst - self.available);
        if earned >= room {
            self.available = self.settings.burst;
            self.refilled = now.max(self.refilled);
        } else {
            self.available += earned as u32;
            self.refilled = Timestamp(self.refilled.0 + earned * interval_micros);
        }
    }
}
