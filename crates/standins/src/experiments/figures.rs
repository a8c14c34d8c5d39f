use std::fmt;

/// What a figure must keep to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bound {
    /// It is told only.
    None,
    /// It may be at most this.
    AtMost(f64),
    /// It must be at least this.
    AtLeast(f64),
}

/// One measured figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// Name, without spaces.
    pub name: String,
    /// Value, in its unit.
    pub value: f64,
    /// Unit, without spaces.
    pub unit: &'static str,
    /// What it must keep to; it comes from the stated target.
    pub bound: Bound,
}

impl Figure {
    /// Whether the value keeps to its bound; one that is no number never
    /// does.
    pub fn holds(&self) -> bool {
        match self.bound {
            Bound::None => true,
            Bound::AtMost(most) => self.value <= most,
            Bound::AtLeast(least) => self.value >= least,
        }
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = round_significant(self.value);
        write!(f, "{} {value} {} ", self.name, self.unit)?;
        match self.bound {
            Bound::None => return f.write_str("- told"),
            Bound::AtMost(most) => write!(f, "<={most} ")?,
            Bound::AtLeast(least) => write!(f, ">={least} ")?,
        }
        f.write_str(if self.holds() { "pass" } else { "FAIL" })
    }
}

/// Rounds to four significant digits, and whole numbers not at all.
fn round_significant(value: f64) -> f64 {
    if value == 0.0 || value.fract() == 0.0 || !value.is_finite() {
        return value;
    }
    let digits = 3 - value.abs().log10().floor() as i32;
    let scale = 10_f64.powi(digits.max(0));
    (value * scale).round() / scale
}

/// The figures of one experiment, in the order of their lines.
///
/// # Example
///
/// ```
/// use standins::experiments::{Bound, Figures};
///
/// let mut figures = Figures::default();
/// figures.push("added_p99", 0.9, "ms", Bound::AtMost(1.8));
/// assert!(figures.hold());
/// assert_eq!(figures.to_string(), "added_p99 0.9 ms <=1.8 pass\n");
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    figures: Vec<Figure>,
}

impl Figures {
    /// Adds a figure.
    pub fn push(&mut self, name: &str, value: f64, unit: &'static str, bound: Bound) {
        self.figures.push(Figure {
            name: name.to_owned(),
            value,
            unit,
            bound,
        });
    }

    /// Adds all figures of another list.
    pub fn append(&mut self, other: Figures) {
        self.figures.extend(other.figures);
    }

    /// Whether all figures keep to their bounds.
    pub fn hold(&self) -> bool {
        self.figures.iter().all(Figure::holds)
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.figures
            .iter()
            .try_for_each(|figure| writeln!(f, "{figure}"))
    }
}
