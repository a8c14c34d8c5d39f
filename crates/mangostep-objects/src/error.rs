use std::fmt;

/// One thing that is wrong with a set of objects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectFault {
    /// The file that holds the fault.
    pub file: String,
    /// The line in that file, counted from 1; 0 when unknown.
    pub line: usize,
    /// Kind and name of the object, such as `route lookups`.
    pub object: String,
    /// The field at fault; empty when the whole object is meant.
    pub field: String,
    /// What is wrong, and what would be right.
    pub message: String,
}

impl fmt::Display for ObjectFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.object.is_empty() {
            write!(f, "{}: ", self.object)?;
        }
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.message)
    }
}

/// All that is wrong with a set of objects, told at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectError {
    faults: Vec<ObjectFault>,
}

impl ObjectError {
    /// Bundles faults; the list is not empty.
    pub(crate) fn new(faults: Vec<ObjectFault>) -> Self {
        debug_assert!(!faults.is_empty());
        ObjectError { faults }
    }

    /// The faults, in the order of files and lines.
    pub fn faults(&self) -> &[ObjectFault] {
        &self.faults
    }
}

impl fmt::Display for ObjectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ObjectError {}
