//! Types used by most modules of the daemon.

pub(crate) use std::{sync::Arc, time::Duration};

pub(crate) use mangostep_policy::MonotonicTime;

pub(crate) use crate::{context::HostContext, error::DaemonError};
