//! Least-squares line through observations whose weight decays.

/// Weighted sums over the observations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LinearFit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LinearFit {
    /// Adds an observation. `kept` is the factor by which the weight of all earlier ones shrinks.
    pub(crate) fn observe(&mut self, x: f64, y: f64, retained: f64) {
        let accumulate = |sum: &mut f64, value: f64| *sum = *sum * retained + value;
        accumulate(&mut self.weight, 1.0);
        accumulate(&mut self.x, x);
        accumulate(&mut self.y, y);
        accumulate(&mut self.xx, x * x);
        accumulate(&mut self.xy, x * y);
    }

    /// Sum of the weights of all observations.
    pub(crate) fn weight(&self) -> f64 {
        self.weight
    }

    /// Slope of the least-squares line. Returns `None` if the variance of `x` is below `least`,
    /// since the slope is then undetermined.
    pub(crate) fn slope(&self, min_variance: f64) -> Option<f64> {
        let (x, y) = self.mean()?;
        let variance = self.xx / self.weight - x * x;
        if variance < min_variance {
            return None;
        }
        Some((self.xy / self.weight - x * y) / variance)
    }

    /// Weighted mean of the observations.
    pub(crate) fn mean(&self) -> Option<(f64, f64)> {
        (self.weight > 0.0).then(|| (self.x / self.weight, self.y / self.weight))
    }
}
