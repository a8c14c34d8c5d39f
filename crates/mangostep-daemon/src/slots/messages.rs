use std::net::SocketAddr;

use {
    mangostep_objects::RequestKind,
    mangostep_policy::OutcomeKind,
    mangostep_wire::peer_capnp::{self, slot_answer, slot_ask, slot_release},
};

use crate::prelude::*;

/// An ask for a slot of one cell.
#[derive(Clone, Debug)]
pub(super) struct CellAsk {
    pub(super) service: String,
    pub(super) zone: String,
    pub(super) workspace: String,
    pub(super) kind: RequestKind,
    pub(super) left: Duration,
    pub(super) avoid: Vec<String>,
    pub(super) is_stopgap: bool,
}

/// A slot of one cell.
#[derive(Clone, Debug)]
pub(super) struct CellGrant {
    pub(super) permit: u64,
    pub(super) server: String,
    pub(super) address: SocketAddr,
    pub(super) valid: Duration,
}

/// Why a cell grants no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CellRefusal {
    Late,
    NoServer,
    NotKeeper,
    OverBudget,
    ZoneOut,
}

/// The answer of a cell, with its load.
#[derive(Debug)]
pub(super) struct CellAnswer {
    pub(super) result: Result<CellGrant, (CellRefusal, Duration)>,
    pub(super) load: f64,
}

/// The end of a request at a backend server of one cell.
#[derive(Clone, Debug)]
pub(super) struct CellRelease {
    pub(super) service: String,
    pub(super) zone: String,
    pub(super) permit: u64,
    pub(super) server: String,
    pub(super) outcome: OutcomeKind,
    pub(super) header: Duration,
    pub(super) total: Duration,
}

impl CellAsk {
    pub(super) fn read(ask: slot_ask::Reader<'_>) -> Result<Self, capnp::Error> {
        let avoid = ask.get_avoid()?;
        let avoid: Result<Vec<String>, capnp::Error> =
            avoid.iter().map(|name| Ok(name?.to_string()?)).collect();
        Ok(CellAsk {
            service: ask.get_service()?.to_string()?,
            zone: ask.get_zone()?.to_string()?,
            workspace: ask.get_workspace()?.to_string()?,
            kind: match ask.get_kind()? {
                peer_capnp::RequestKind::Idempotent => RequestKind::Idempotent,
                peer_capnp::RequestKind::NonIdempotent => RequestKind::NonIdempotent,
            },
            left: Duration::from_micros(ask.get_deadline_us()),
            avoid: avoid?,
            is_stopgap: ask.get_stopgap(),
        })
    }

    pub(super) fn write(&self, mut to: slot_ask::Builder<'_>) {
        to.set_service(&self.service);
        to.set_zone(&self.zone);
        to.set_workspace(&self.workspace);
        to.set_kind(match self.kind {
            RequestKind::Idempotent => peer_capnp::RequestKind::Idempotent,
            RequestKind::NonIdempotent => peer_capnp::RequestKind::NonIdempotent,
        });
        to.set_deadline_us(micros(self.left));
        to.set_retry(self.is_retry());
        to.set_stopgap(self.is_stopgap);
        let mut avoid = to.init_avoid(u32::try_from(self.avoid.len()).unwrap_or(0));
        for (at, name) in (0..).zip(&self.avoid) {
            avoid.set(at, name);
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
                    .map_err(|_| capnp::Error::failed("not an address".to_owned()))?,
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

    pub(super) fn write(&self, mut to: slot_answer::Builder<'_>) {
        use peer_capnp::SlotAnswerKind as Kind;

        to.set_load_micro((self.load * 1e6) as u64);
        match &self.result {
            Ok(grant) => {
                to.set_kind(Kind::Granted);
                to.set_permit(grant.permit);
                to.set_server(&grant.server);
                to.set_address(grant.address.to_string());
                to.set_valid_us(micros(grant.valid));
            }
            Err((refusal, retry_after)) => {
                to.set_kind(match refusal {
                    CellRefusal::Late => Kind::Late,
                    CellRefusal::NoServer => Kind::NoServer,
                    CellRefusal::NotKeeper => Kind::NotKeeper,
                    CellRefusal::OverBudget => Kind::OverBudget,
                    CellRefusal::ZoneOut => Kind::ZoneOut,
                });
                to.set_retry_after_us(micros(*retry_after));
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

    pub(super) fn write(&self, mut to: slot_release::Builder<'_>) {
        to.set_service(&self.service);
        to.set_zone(&self.zone);
        to.set_permit(self.permit);
        to.set_server(&self.server);
        to.set_outcome(write_outcome(self.outcome));
        to.set_header_us(micros(self.header));
        to.set_total_us(micros(self.total));
    }
}

pub(super) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn read_outcome(outcome: peer_capnp::OutcomeKind) -> OutcomeKind {
    use peer_capnp::OutcomeKind as Wire;

    match outcome {
        Wire::Answered => OutcomeKind::Answered,
        Wire::ServerError => OutcomeKind::ServerError,
        Wire::Refused => OutcomeKind::Refused,
        Wire::Draining => OutcomeKind::Draining,
        Wire::ConnectFailed => OutcomeKind::ConnectFailed,
        Wire::CutAnswer => OutcomeKind::CutAnswer,
        Wire::Timeout => OutcomeKind::Timeout,
        Wire::WrongAnswer => OutcomeKind::WrongAnswer,
        Wire::CallerGone => OutcomeKind::CallerGone,
        Wire::Cold => OutcomeKind::Cold,
        Wire::Unused => OutcomeKind::Unused,
    }
}

fn write_outcome(outcome: OutcomeKind) -> peer_capnp::OutcomeKind {
    use peer_capnp::OutcomeKind as Wire;

    match outcome {
        OutcomeKind::Answered => Wire::Answered,
        OutcomeKind::ServerError => Wire::ServerError,
        OutcomeKind::Refused => Wire::Refused,
        OutcomeKind::Draining => Wire::Draining,
        OutcomeKind::ConnectFailed => Wire::ConnectFailed,
        OutcomeKind::CutAnswer => Wire::CutAnswer,
        OutcomeKind::Timeout => Wire::Timeout,
        OutcomeKind::WrongAnswer => Wire::WrongAnswer,
        OutcomeKind::CallerGone => Wire::CallerGone,
        OutcomeKind::Cold => Wire::Cold,
        OutcomeKind::Unused => Wire::Unused,
    }
}
