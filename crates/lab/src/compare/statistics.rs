//! Percentiles and confidence intervals.

/// Two-sided 95 % quantiles of Student's t distribution for 1 to 15 degrees of freedom.
const STUDENT_T_95: [f64; 15] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131,
];
/// Two-sided 95 % quantile of the normal distribution.
const NORMAL_95: f64 = 1.960;

/// A mean with the half-width of its 95 % confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Sample mean.
    pub mean: f64,
    /// Half-width of the interval; zero for fewer than two values, where it is undefined.
    pub half_width: f64,
}

impl Estimate {
    /// Estimates the mean of `values`.
    pub fn of(values: &[f64]) -> Self {
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count.max(1.0);
        if values.len() < 2 {
            return Self {
                mean,
                half_width: 0.0,
            };
        }
        let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
        let error = (squares / (count - 1.0) / count).sqrt();
        let quantile = STUDENT_T_95.get(values.len() - 2).unwrap_or(&NORMAL_95);
        Self {
            mean,
            half_width: quantile * error,
        }
    }
}

/// Returns the `quantile` (0 to 1) of sorted values by nearest rank, or zero if there are none.
pub fn percentile(sorted: &[f64], quantile: f64) -> f64 {
    let rank = (sorted.len() as f64 * quantile).ceil() as usize;
    let index = rank.clamp(1, sorted.len().max(1)) - 1;
    sorted.get(index).copied().unwrap_or(0.0)
}
