//! Linear regression over a stream of observations, in which older ones decay.

/// Factor by which older observations decay with each new one: about the last hundred count, so
/// that a changed speed is followed.
const DECAY: f64 = 0.99;

/// A straight line, `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FittedLine {
    /// Value at `x = 0`.
    pub intercept: f64,
    /// Increase of `y` per unit of `x`.
    pub slope: f64,
}

/// Slope that is assumed before observations determine it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prior {
    /// Assumed slope.
    pub slope: f64,
    /// Weight of the assumption, in squared units of `x`.
    pub weight: f64,
}

/// Weighted least squares over observations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinearRegression {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LinearRegression {
    /// Adds an observation. A value that isn't finite is ignored, since it would stay in the sums.
    pub fn observe(&mut self, x: f64, y: f64) {
        if !x.is_finite() || !y.is_finite() {
            return;
        }
        let add = |sum: &mut f64, value: f64| *sum = DECAY * *sum + value;
        add(&mut self.weight, 1.0);
        add(&mut self.x, x);
        add(&mut self.y, y);
        add(&mut self.xx, x * x);
        add(&mut self.xy, x * y);
    }

    /// Returns the mean of the observations, which lies on the line, or `None` before the first
    /// one.
    pub fn mean(&self) -> Option<Point> {
        (self.weight > 0.0).then(|| Point { x: self.x / self.weight, y: self.y / self.weight })
    }

    /// Returns the fitted line with a slope between zero and `max_slope`, or `None` before the
    /// first observation.
    pub fn line(&self, prior: Prior, max_slope: f64) -> Option<FittedLine> {
        let mean = self.mean()?;
        let spread = self.xx - self.weight * mean.x * mean.x;
        let covariance = self.xy - self.weight * mean.x * mean.y;
        let slope = (covariance + prior.weight * prior.slope) / (spread + prior.weight);
        let slope = if slope.is_finite() { slope.clamp(0.0, max_slope.max(0.0)) } else { 0.0 };
        Some(FittedLine { intercept: mean.y - slope * mean.x, slope })
    }
}

/// A point of a line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Independent variable.
    pub x: f64,
    /// Dependent variable.
    pub y: f64,
}
