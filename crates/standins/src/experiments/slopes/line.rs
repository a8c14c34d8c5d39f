use crate::experiments::{Bound, Figures};

/// Values of one figure at several sizes.
#[derive(Clone, Debug, Default)]
pub(crate) struct SizeLine {
    points: Vec<(f64, f64)>,
}

impl SizeLine {
    pub(crate) fn push(&mut self, size: f64, value: f64) {
        self.points.push((size, value));
    }

    /// Value at size 0 and growth by one, by least squares.
    pub(crate) fn fit(&self) -> (f64, f64) {
        let count = self.points.len() as f64;
        let mean_x = self.points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = self.points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let (mut covariance, mut variance) = (0.0, 0.0);
        for (x, y) in &self.points {
            covariance += (x - mean_x) * (y - mean_y);
            variance += (x - mean_x).powi(2);
        }
        let slope = covariance / variance;
        (mean_y - slope * mean_x, slope)
    }

    /// Value at a target size: the measured one, or else from the line.
    ///
    /// Where the line falls, it is the largest value that was measured: a
    /// cost is not taken to go away with size.
    pub(crate) fn at(&self, target: f64) -> f64 {
        let measured = self.points.iter().find(|(size, _)| *size == target);
        if let Some((_, value)) = measured {
            return *value;
        }
        let (base, slope) = self.fit();
        if slope > 0.0 {
            return base + slope * target;
        }
        let values = self.points.iter().map(|(_, value)| *value);
        values.fold(0.0, f64::max)
    }

    /// Tells each value, the slope, and what the line gives at a target.
    pub(crate) fn tell(
        &self,
        name: &str,
        unit: &'static str,
        target: f64,
        bound: Bound,
        figures: &mut Figures,
    ) {
        for (size, value) in &self.points {
            figures.push(&format!("{name}_at_{size}"), *value, unit, Bound::None);
        }
        let (_, slope) = self.fit();
        figures.push(&format!("{name}_slope"), slope, unit, Bound::None);
        let name = format!("{name}_target_{target}");
        figures.push(&name, self.at(target), unit, bound);
    }
}
