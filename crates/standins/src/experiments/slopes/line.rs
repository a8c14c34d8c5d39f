use crate::experiments::{Bound, Figures};

/// Values of one figure at several sizes, with a line fitted through them.
#[derive(Clone, Debug, Default)]
pub(crate) struct SizeLine {
    points: Vec<(f64, f64)>,
}

impl SizeLine {
    pub(crate) fn push(&mut self, size: f64, value: f64) {
        self.points.push((size, value));
    }

    /// Returns the intercept and the slope of the least-squares line.
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

    /// Returns the value at a target size: measured if that size was measured,
    /// otherwise extrapolated along the line.
    ///
    /// If the slope is not positive, returns the largest measured value: a
    /// cost is not assumed to shrink with size.
    pub(crate) fn value_at(&self, target: f64) -> f64 {
        let measured = self.points.iter().find(|(size, _)| *size == target);
        if let Some((_, value)) = measured {
            return *value;
        }
        let (intercept, slope) = self.fit();
        if slope > 0.0 {
            return intercept + slope * target;
        }
        let values = self.points.iter().map(|(_, value)| *value);
        values.fold(0.0, f64::max)
    }

    /// Adds each value, the slope, and the value at a target size.
    pub(crate) fn push_figures(
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
        figures.push(&name, self.value_at(target), unit, bound);
    }
}
