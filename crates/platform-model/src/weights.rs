//! Model of the weight store, with a token bucket as rate limit.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_platform_api::weights::WeightsResponse;
use elderworks_types::{ModelName, Timestamp};

/// Rate limit of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsSettings {
    /// Maximum number of requests in a burst.
    pub burst: u32,
    /// Interval at which one more request becomes available.
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

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WeightsOutcome {
    /// The requested weights.
    Found(WeightsResponse),
    /// The store does not have the model.
    NotFound,
    /// The rate limit is exceeded; the next request is possible after this duration.
    Limited(Duration),
}

/// A weight store with the weights of each model.
pub struct WeightsModel {
    settings: WeightsSettings,
    weights: BTreeMap<ModelName, WeightsResponse>,
    available: u32,
    last_refill: Timestamp,
}

impl WeightsModel {
    /// Creates a store of `weights` with a full token bucket.
    pub fn new(settings: WeightsSettings, weights: Vec<WeightsResponse>) -> Self {
        let available = settings.burst;
        let by_model = |weights: WeightsResponse| (weights.model.clone(), weights);
        Self {
            settings,
            weights: weights.into_iter().map(by_model).collect(),
            available,
            last_refill: Timestamp::default(),
        }
    }

    /// Handles a request. Requests for unknown models also count towards the rate limit.
    pub fn request(&mut self, now: Timestamp, model: &ModelName) -> WeightsOutcome {
        self.refill(now);
        if self.available == 0 {
            let next = self.last_refill + self.settings.interval;
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
        let earned = now.since(self.last_refill).as_micros() as u64 / interval_micros;
        let missing = u64::from(self.settings.burst - self.available);
        if earned >= missing {
            self.available = self.settings.burst;
            self.last_refill = now.max(self.last_refill);
        } else {
            self.available += earned as u32;
            self.last_refill = Timestamp(self.last_refill.0 + earned * interval_micros);
        }
    }
}
