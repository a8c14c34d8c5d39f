use std::net::SocketAddr;

use {
    mangostep_objects::RequestKind,
    mangostep_policy::OutcomeKind,
    mangostep_wire::peer_capnp::{self, slot_answer, slot_ask, slot_release},
};

use crate::prelude::*;

/// A request for a slot of one cell.
#[derive(Clone, Debug)]
pub(super) struct CellRequest {
    pub(super) service: String,
    pub(super) zone: String,
    pub(super) workspace: String,
    pub(super) kind: RequestKind,
    /// Time until the deadline of the request.
    pub(super) time_left: Duration,
    /// Names of backend servers that earlier attempts used.
    pub(super) avoid: Vec<String>,
    /// Whether the receiver may grant as a stopgap host.
    pub(super) is_stopgap: bool,
}

/// A granted slot of one cell.
#[derive(Clone, Debug)]
pub(super) struct CellGrant {
    pub(super) permit: u64,
    pub(super) server: String,
    pub(super) address: SocketAddr,
    /// Time after which the permit expires.
    pub(super) valid: Duration,
}

/// Why a slot of a cell was not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CellRefusal {
    /// No slot becomes free before the deadline.
    Late,
    /// No usable backend server.
    NoServer,
    /// The receiver may not grant slots of the cell.
    NotKeeper,
    /// The retry budget is spent.
    OverBudget,
    /// The availability zone is out of service.
    ZoneOut,
}

/// The answer to a [`CellRequest`], with the load of the cell.
#[derive(Debug)]
pub(super) struct CellAnswer {
    /// The grant, or the refusal with the time after which to retry.
    pub(super) result: Result<CellGrant, (CellRefusal, Duration)>,
    pub(super) load: f64,
}

/// The release of a slot of one cell.
#[derive(Clone, Debug)]
pub(super) struct CellRelease {
    pub(super) service: String,
    pub(super) zone: String,
    pub(super) permit: u64,
    pub(super) server: String,
    pub(super) outcome: OutcomeKind,
    /// Time from the grant to the head of the answer; zero without an answer.
    pub(super) header: Duration,
    /// Time from the grant to the end of the request.
    pub(super) total: Duration,
}

impl CellRequest {
    pub(super) fn read(request: slot_ask::Reader<'_>) -> Result<Self, capnp::Error> {
        let avoid = request.get_avoid()?;
        let avoid: Result<Vec<String>, capnp::Error> =
            avoid.iter().map(|name| Ok(name?.to_string()?)).collect();
        Ok(CellRequest {
            service: request.get_service()?.to_string()?,
            zone: request.get_zone()?.to_string()?,
            workspace: request.get_workspace()?.to_string()?,
            kind: match request.get_kind()? {
                peer_capnp::RequestKind::Idempotent => RequestKind::Idempotent,
                peer_capnp::RequestKind::NonIdempotent => RequestKind::NonIdempotent,
            },
            time_left: Duration::from_micros(request.get_deadline_us()),
            avoid: avoid?,
            is_stopgap: request.get_stopgap(),
        })
    }

    pub(super) fn write(&self, mut builder: slot_ask::Builder<'_>) {
        builder.set_service(&self.service);
        builder.set_zone(&self.zone);
        builder.set_workspace(&self.workspace);
        builder.set_kind(match self.kind {
            RequestKind::Idempotent => peer_capnp::RequestKind::Idempotent,
            RequestKind::NonIdempotent => peer_capnp::RequestKind::NonIdempotent,
        });
        builder.set_deadline_us(micros(self.time_left));
        builder.set_retry(self.is_retry());
        builder.set_stopgap(self.is_stopgap);
        let mut avoid = builder.init_avoid(u32::try_from(self.avoid.len()).unwrap_or(0));
        for (index, name) in (0..).zip(&self.avoid) {
            avoid.set(index, name);
        }
    }

    pub(super) fn is_retry(&self) -> bool {
        !self.avoid.is_empty()
    }
}

impl CellAnswer {
    pub(super) fn not_keeper() -> Self {
        CellAnswer {
            result: Err((CellRefusal::NotKeeper, Duration::ZERO)),
            load: 0.0,
        }
    }

    pub(super) fn read(answer: slot_answer::Reader<'_>) -> Result<Self, capnp::Error> {
        use peer_capnp::SlotAnswerKind as Kind;

        let retry_after = Duration::from_micros(answer.get_retry_after_us());
        let refused = |refusal| Err((refusal, retry_after));
        let result = match answer.get_kind()? {
            Kind::Granted => Ok(CellGrant {
                permit: answer.get_permit(),
                server: answer.get_server()?.to_string()?,
                address: answer
                    .get_address()?
                    .to_str()?
                    .parse()
                    .map_err(|_| capnp::Error::failed("malformed server address".to_owned()))?,
                valid: Duration::from_micros(answer.get_valid_us()),
            }),
            Kind::Late => refused(CellRefusal::Late),
            Kind::NoServer => refused(CellRefusal::NoServer),
            Kind::NotKeeper => refused(CellRefusal::NotKeeper),
            Kind::OverBudget => refused(CellRefusal::OverBudget),
            Kind::ZoneOut => refused(CellRefusal::ZoneOut),
        };
        Ok(CellAnswer {
            result,
            load: answer.get_load_micro() as f64 / 1e6,
        })
    }

    pub(super) fn write(&self, mut builder: slot_answer::Builder<'_>) {
        use peer_capnp::SlotAnswerKind as Kind;

        builder.set_load_micro((self.load * 1e6) as u64);
        match &self.result {
            Ok(grant) => {
                builder.set_kind(Kind::Granted);
                builder.set_permit(grant.permit);
                builder.set_server(&grant.server);
                builder.set_address(grant.address.to_string());
                builder.set_valid_us(micros(grant.valid));
            }
            Err((refusal, retry_after)) => {
                builder.set_kind(match refusal {
                    CellRefusal::Late => Kind::Late,
                    CellRefusal::NoServer => Kind::NoServer,
                    CellRefusal::NotKeeper => Kind::NotKeeper,
                    CellRefusal::OverBudget => Kind::OverBudget,
                    CellRefusal::ZoneOut => Kind::ZoneOut,
                });
                builder.set_retry_after_us(micros(*retry_after));
            }
        }
    }
}

impl CellRelease {
    pub(super) fn read(release: slot_release::Reader<'_>) -> Result<Self, capnp::Error> {
        Ok(CellRelease {
            service: release.get_service()?.to_string()?,
            zone: release.get_zone()?.to_string()?,
            permit: release.get_permit(),
            server: release.get_server()?.to_string()?,
            outcome: read_outcome(release.get_outcome()?),
            header: Duration::from_micros(release.get_header_us()),
            total: Duration::from_micros(release.get_total_us()),
        })
    }

    pub(super) fn write(&self, mut builder: slot_release::Builder<'_>) {
        builder.set_service(&self.service);
        builder.set_zone(&self.zone);
        builder.set_permit(self.permit);
        builder.set_server(&self.server);
        builder.set_outcome(write_outcome(self.outcome));
        builder.set_header_us(micros(self.header));
        builder.set_total_us(micros(self.total));
    }
}

pub(super) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn read_outcome(outcome: peer_capnp::OutcomeKind) -> OutcomeKind {
    use peer_capnp::OutcomeKind as WireKind;

    match outcome {
        WireKind::Answered => OutcomeKind::Answered,
        WireKind::ServerError => OutcomeKind::ServerError,
        WireKind::Refused => OutcomeKind::Refused,
        WireKind::Draining => OutcomeKind::Draining,
        WireKind::ConnectFailed => OutcomeKind::ConnectFailed,
        WireKind::CutAnswer => OutcomeKind::CutAnswer,
        WireKind::Timeout => OutcomeKind::Timeout,
        WireKind::WrongAnswer => OutcomeKind::WrongAnswer,
        WireKind::CallerGone => OutcomeKind::CallerGone,
        WireKind::Cold => OutcomeKind::Cold,
        WireKind::Unused => OutcomeKind::Unused,
    }
}

fn write_outcome(outcome: OutcomeKind) -> peer_capnp::OutcomeKind {
    use peer_capnp::OutcomeKind as WireKind;

    match outcome {
        OutcomeKind::Answered => WireKind::Answered,
        OutcomeKind::ServerError => WireKind::ServerError,
        OutcomeKind::Refused => WireKind::Refused,
        OutcomeKind::Draining => WireKind::Draining,
        OutcomeKind::ConnectFailed => WireKind::ConnectFailed,
        OutcomeKind::CutAnswer => WireKind::CutAnswer,
        OutcomeKind::Timeout => WireKind::Timeout,
        OutcomeKind::WrongAnswer => WireKind::WrongAnswer,
        OutcomeKind::CallerGone => WireKind::CallerGone,
        OutcomeKind::Cold => WireKind::Cold,
        OutcomeKind::Unused => WireKind::Unused,
    }
}
