//! Types that almost every module uses.

pub(crate) use std::{rc::Rc, time::Duration};

pub(crate) use mangostep_policy::MonotonicTime;

pub(crate) use crate::{context::HostContext, error::EntryError};
