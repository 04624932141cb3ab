//! Straight lines through measured points.

use serde::Serialize;

/// A line fitted by least squares, with the error of the fit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LinearFit {
    /// Value at zero.
    pub intercept: f64,
    /// Growth per unit.
    pub slope: f64,
    /// Share of the variance that the line explains, from 0 to 1.
    pub r_squared: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    pub worst_residual: f64,
}

impl LinearFit {
    /// Fits points `(x, y)`; `None` if they do not determine a line.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || spread_x == 0.0 {
            return None;
        }
        let together: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = together / spread_x;
        let intercept = mean_y - slope * mean_x;
        let residual = |(x, y): &(f64, f64)| y - (intercept + slope * x);
        let spread_y: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        let unexplained: f64 = points.iter().map(|point| residual(point).powi(2)).sum();
        let r_squared = if spread_y == 0.0 {
            1.0
        } else {
            1.0 - unexplained / spread_y
        };
        let largest = points.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
        let worst = points.iter().map(|point| residual(point).abs());
        let worst_residual = worst.fold(0.0, f64::max) / largest.max(f64::MIN_POSITIVE);
        Some(Self {
            intercept,
            slope,
            r_squared,
            worst_residual,
        })
    }
}

impl std::fmt::Display for LinearFit {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{:.6} + {:.6} x count (R2 {:.4}, worst residual {:.1} %)",
            self.intercept,
            self.slope,
            self.r_squared,
            self.worst_residual * 100.0
        )
    }
}

#[cfg(test)]
mod tests;
