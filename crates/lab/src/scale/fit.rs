//! Straight lines through measured points.

/// A line by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Value at size 0.
    pub base: f64,
    /// Growth for one unit of size.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
}

impl Fit {
    /// The value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// Fits a line through `(size, value)` points; at least three.
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_size, mean_value) = (mean(|point| point.0), mean(|point| point.1));
    let spread: f64 = points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
    let together: f64 =
        points.iter().map(|(size, value)| (size - mean_size) * (value - mean_value)).sum();
    let slope = together / spread;
    let base = mean_value - slope * mean_size;
    let left: f64 = points.iter().map(|(size, value)| (value - base - slope * size).powi(2)).sum();
    let slope_error = (left / (count - 2.0).max(1.0) / spread).sqrt();
    Fit { base, slope, slope_error }
}
