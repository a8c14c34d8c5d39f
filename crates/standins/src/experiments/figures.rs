use std::fmt;

/// Acceptance bound of a figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bound {
    /// The figure is reported for information and always passes.
    None,
    /// The value passes up to and including this limit.
    AtMost(f64),
    /// The value passes from this limit upwards, inclusive.
    AtLeast(f64),
}

/// One measured figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// Name without spaces, the first column of the line.
    pub name: String,
    /// Measured value, in `unit`.
    pub value: f64,
    /// Unit without spaces, such as `ms` or `requests/s`.
    pub unit: &'static str,
    /// Acceptance bound; it comes from the stated target, never from a
    /// measurement.
    pub bound: Bound,
}

impl Figure {
    /// Whether the value is within its bound. NaN is within no bound except
    /// [`Bound::None`].
    pub fn is_within_bound(&self) -> bool {
        match self.bound {
            Bound::None => true,
            Bound::AtMost(max) => self.value <= max,
            Bound::AtLeast(min) => self.value >= min,
        }
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = round_significant(self.value);
        write!(f, "{} {value} {} ", self.name, self.unit)?;
        match self.bound {
            Bound::None => return f.write_str("- told"),
            Bound::AtMost(max) => write!(f, "<={max} ")?,
            Bound::AtLeast(min) => write!(f, ">={min} ")?,
        }
        f.write_str(if self.is_within_bound() {
            "pass"
        } else {
            "FAIL"
        })
    }
}

/// Rounds to four significant digits; leaves whole numbers unchanged.
fn round_significant(value: f64) -> f64 {
    if value == 0.0 || value.fract() == 0.0 || !value.is_finite() {
        return value;
    }
    let digits = 3 - value.abs().log10().floor() as i32;
    let scale = 10_f64.powi(digits.max(0));
    (value * scale).round() / scale
}

/// The figures of one experiment, in the order in which they are printed.
///
/// # Example
///
/// ```
/// use standins::experiments::{Bound, Figures};
///
/// let mut figures = Figures::default();
/// figures.push("added_p99", 0.9, "ms", Bound::AtMost(1.8));
/// assert!(figures.all_within_bounds());
/// assert_eq!(figures.to_string(), "added_p99 0.9 ms <=1.8 pass\n");
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    figures: Vec<Figure>,
}

impl Figures {
    /// Adds a figure as the last line.
    pub fn push(&mut self, name: &str, value: f64, unit: &'static str, bound: Bound) {
        self.figures.push(Figure {
            name: name.to_owned(),
            value,
            unit,
            bound,
        });
    }

    /// Adds all figures of `other` after the present ones.
    pub fn append(&mut self, other: Figures) {
        self.figures.extend(other.figures);
    }

    /// Whether every figure is within its bound; true for an empty list.
    pub fn all_within_bounds(&self) -> bool {
        self.figures.iter().all(Figure::is_within_bound)
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.figures
            .iter()
            .try_for_each(|figure| writeln!(f, "{figure}"))
    }
}
