//! Figures that a host acts on, with their age.

mod aged_figure;

pub use self::aged_figure::{AgeBounds, AgedFigure, FigureAge, FigureSource};
