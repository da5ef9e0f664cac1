//! A straight line through observations that fade, for what is learned of engines on the way.

/// Sums over observations of which earlier ones count less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LinearFit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LinearFit {
    /// Takes an observation in. `kept` is what is left of all earlier ones.
    pub(crate) fn observe(&mut self, x: f64, y: f64, retained: f64) {
        let accumulate = |sum: &mut f64, value: f64| *sum = *sum * retained + value;
        accumulate(&mut self.weight, 1.0);
        accumulate(&mut self.x, x);
        accumulate(&mut self.y, y);
        accumulate(&mut self.xx, x * x);
        accumulate(&mut self.xy, x * y);
    }

    /// How many observations count, with faded ones in part.
    pub(crate) fn weight(&self) -> f64 {
        self.weight
    }

    /// What the line rises by for each step of one: the line with the least squares of distances, unless the observations lie within `least`, a variance, of
    /// one place: then any slope would do.
    pub(crate) fn slope(&self, min_variance: f64) -> Option<f64> {
        let (x, y) = self.mean()?;
        let variance = self.xx / self.weight - x * x;
        if variance < min_variance {
            return None;
        }
        Some((self.xy / self.weight - x * y) / variance)
    }

    /// The middle of the observations.
    pub(crate) fn mean(&self) -> Option<(f64, f64)> {
        (self.weight > 0.0).then(|| (self.x / self.weight, self.y / self.weight))
    }
}
