//! A straight line through observations that keep coming, with the older ones forgotten.

/// Weight that older observations keep with each new one: a hundred of them, some ten seconds of one
/// VM's share of a pool, so that what changed is followed.
const DECAY: f64 = 0.99;

/// A straight line.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FittedLine {
    /// Value at zero.
    pub intercept: f64,
    /// What each unit adds.
    pub slope: f64,
}

/// A slope that is believed before observations tell it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prior {
    /// The slope.
    pub slope: f64,
    /// What it counts for, in squared units of spread.
    pub weight: f64,
}

/// Least squares over observations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinearRegression {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LinearRegression {
    /// Takes an observation. One that is no number changes nothing: it would stay in the sums for
    /// good.
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

    /// Returns the mean of what was observed, as a point of the line; nothing before the first.
    pub fn mean(&self) -> Option<Point> {
        (self.weight > 0.0).then(|| Point { x: self.x / self.weight, y: self.y / self.weight })
    }

    /// Returns the line, its slope held between zero and `max_slope`.
    pub fn line(&self, prior: Prior, max_slope: f64) -> Option<FittedLine> {
        let mean = self.mean()?;
        let spread = self.xx - self.weight * mean.x * mean.x;
        let covariance = self.xy - self.weight * mean.x * mean.y;
        let slope = (covariance + prior.weight * prior.slope) / (spread + prior.weight);
        let slope = if slope.is_finite() { slope.clamp(0.0, max_slope.max(0.0)) } else { 0.0 };
        Some(FittedLine { intercept: mean.y - slope * mean.x, slope })
    }
}

/// A point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Where.
    pub x: f64,
    /// What was seen there.
    pub y: f64,
}
