//! Least-squares fits of a cost over the number of daemons.

/// Points from which on the errors of two fits can be compared.
const POINTS_TO_COMPARE: usize = 3;

/// A cost at a number of daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// Daemons.
    pub daemons: f64,
    /// The cost.
    pub cost: f64,
}

/// How a cost grows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// With the binary logarithm of the number of daemons.
    Logarithm,
    /// With the number of daemons.
    Linear,
}

impl Shape {
    fn of(self, daemons: f64) -> f64 {
        match self {
            Self::Logarithm => daemons.log2(),
            Self::Linear => daemons,
        }
    }
}

/// A fit: `base + slope * shape(daemons)`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// How the cost grows.
    pub shape: Shape,
    /// The part that does not grow.
    pub base: f64,
    /// The growth.
    pub slope: f64,
    /// Root of the mean square of the differences to the points.
    pub error: f64,
}

impl Fit {
    /// The fit of `shape` to `points`; `None` with fewer than two sizes.
    pub fn new(shape: Shape, points: &[Point]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points
            .iter()
            .map(|point| shape.of(point.daemons))
            .sum::<f64>()
            / count;
        let mean_y = points.iter().map(|point| point.cost).sum::<f64>() / count;
        let deviation = |point: &Point| shape.of(point.daemons) - mean_x;
        let spread: f64 = points.iter().map(|point| deviation(point).powi(2)).sum();
        if points.len() < 2 || spread <= f64::EPSILON {
            return None;
        }
        let product = |point: &Point| deviation(point) * (point.cost - mean_y);
        let slope = points.iter().map(product).sum::<f64>() / spread;
        let base = mean_y - slope * mean_x;
        let difference = |point: &Point| point.cost - base - slope * shape.of(point.daemons);
        let squares: f64 = points.iter().map(|point| difference(point).powi(2)).sum();
        Some(Self {
            shape,
            base,
            slope,
            error: (squares / count).sqrt(),
        })
    }

    /// The better of the two shapes. Two points fit both: then the one that says
    /// more at larger sizes is taken.
    pub fn best(points: &[Point]) -> Option<Self> {
        let logarithm = Self::new(Shape::Logarithm, points)?;
        let linear = Self::new(Shape::Linear, points)?;
        if points.len() < POINTS_TO_COMPARE {
            return Some(linear);
        }
        Some(if linear.error < logarithm.error {
            linear
        } else {
            logarithm
        })
    }

    /// The cost to expect at a number of daemons: what the better fit says, or the
    /// highest measured where the cost does not grow.
    pub fn expected(points: &[Point], daemons: f64) -> Option<f64> {
        let fit = Self::best(points)?;
        if fit.slope > 0.0 {
            return Some(fit.at(daemons));
        }
        points.iter().map(|point| point.cost).reduce(f64::max)
    }

    /// The cost at a number of daemons.
    pub fn at(&self, daemons: f64) -> f64 {
        self.base + self.slope * self.shape.of(daemons)
    }

    /// The number of daemons at which the cost reaches `limit`, if it grows to it.
    pub fn reaches(&self, limit: f64) -> Option<f64> {
        if self.slope <= 0.0 {
            return None;
        }
        let amount = (limit - self.base) / self.slope;
        Some(match self.shape {
            Shape::Logarithm => amount.exp2(),
            Shape::Linear => amount,
        })
    }
}
