use std::fmt;

/// A single fault in a set of objects or in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectFault {
    /// File that contains the fault; empty when the set was not read from a
    /// file.
    pub file: String,
    /// Line in the file, counted from 1; 0 when unknown.
    pub line: usize,
    /// Kind and name of the object, such as `route lookups`; empty when the
    /// fault lies in no object.
    pub object: String,
    /// Path of the invalid field; empty when the fault concerns the whole
    /// object.
    pub field: String,
    /// What is wrong, and which values are valid.
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

/// All faults in a set of objects or in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectError {
    faults: Vec<ObjectFault>,
}

impl ObjectError {
    /// Wraps a list of faults, which must not be empty.
    pub(crate) fn new(faults: Vec<ObjectFault>) -> Self {
        debug_assert!(!faults.is_empty());
        ObjectError { faults }
    }

    /// The faults, in the order in which they were found: first those of the
    /// text of each file, then those of the whole set by file and line.
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
