//! Confidence intervals over seeds.

/// Two-sided 95 % points of Student's t for 1 to 30 degrees of freedom (standard tables).
const T_95: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056,
    2.052, 2.048, 2.045, 2.042,
];
/// The same for many.
const T_95_MANY: f64 = 1.96;

/// A mean with the half width of its 95 % confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// Mean.
    pub mean: f64,
    /// Half width; infinite for fewer than two values.
    pub half_width: f64,
}

impl Interval {
    /// Over independent values.
    pub fn of(values: &[f64]) -> Interval {
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count.max(1.0);
        if values.len() < 2 {
            return Interval { mean, half_width: f64::INFINITY };
        }
        let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
        let error = (squares / (count - 1.0) / count).sqrt();
        let t = T_95.get(values.len() - 2).copied().unwrap_or(T_95_MANY);
        Interval { mean, half_width: t * error }
    }
}

/// How a policy's measure differs from another's on the same seeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// Less, beyond noise.
    Lower,
    /// More, beyond noise.
    Higher,
    /// The interval of the paired differences includes zero.
    NoDifference,
}

impl Comparison {
    /// Compares values of the same seeds, pair by pair.
    pub fn paired(own: &[f64], other: &[f64]) -> (Comparison, Interval) {
        let differences: Vec<f64> = own.iter().zip(other).map(|(own, other)| own - other).collect();
        let interval = Interval::of(&differences);
        let comparison = if interval.mean - interval.half_width > 0.0 {
            Comparison::Higher
        } else if interval.mean + interval.half_width < 0.0 {
            Comparison::Lower
        } else {
            Comparison::NoDifference
        };
        (comparison, interval)
    }

    /// Words for reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Comparison::Lower => "lower",
            Comparison::Higher => "higher",
            Comparison::NoDifference => "no difference",
        }
    }
}

/// The value below which a share of sorted values lies; 0 when there are none.
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let rank = (share * sorted.len() as f64).ceil() as usize;
    sorted[rank.clamp(1, sorted.len()) - 1]
}
