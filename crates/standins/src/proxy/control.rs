use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use serde::{Deserialize, Serialize};

/// What happens to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkFlow {
    /// Bytes are forwarded.
    #[default]
    Pass,
    /// Bytes are dropped. Once a connection has lost bytes, nothing more is
    /// forwarded in that direction.
    Cut,
    /// Bytes are buffered and forwarded once the rule changes.
    Hold,
}

/// What happens to new connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConnectMode {
    /// Connections are forwarded to the target.
    #[default]
    Pass,
    /// Connections stay open without any data.
    Hang,
    /// Connections are reset.
    Refuse,
}

/// The faults of the connections of one source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkRule {
    /// Bytes from the source to the target.
    pub to_target: LinkFlow,
    /// Bytes from the target to the source.
    pub to_source: LinkFlow,
    /// New connections.
    pub connect: ConnectMode,
    /// Delay of all bytes in each direction, in milliseconds.
    pub delay_ms: u64,
    /// Whether later rules leave this one unchanged.
    #[serde(skip)]
    pub(crate) is_final: bool,
    #[serde(skip)]
    pub(crate) is_reset: bool,
}

impl LinkRule {
    /// Nothing passes from the source to the target; new connections hang.
    pub const CUT_TO_TARGET: LinkRule = LinkRule {
        to_target: LinkFlow::Cut,
        to_source: LinkFlow::Pass,
        connect: ConnectMode::Hang,
        delay_ms: 0,
        is_final: false,
        is_reset: false,
    };

    /// Nothing passes from the target to the source; requests arrive.
    pub const CUT_TO_SOURCE: LinkRule = LinkRule {
        to_target: LinkFlow::Pass,
        to_source: LinkFlow::Cut,
        connect: ConnectMode::Pass,
        ..LinkRule::CUT_TO_TARGET
    };

    /// Nothing passes either way.
    pub const CUT_BOTH: LinkRule = LinkRule {
        to_source: LinkFlow::Cut,
        ..LinkRule::CUT_TO_TARGET
    };

    pub(crate) const SILENT: LinkRule = LinkRule {
        is_final: true,
        ..LinkRule::CUT_BOTH
    };

    pub(crate) const RESET: LinkRule = LinkRule {
        is_reset: true,
        ..LinkRule::SILENT
    };
}

/// One command to a fault proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProxyCommand {
    /// Forwards new connections to another target.
    Target(SocketAddr),
    /// Removes all rules; connections that lost bytes are not restored.
    Clear,
    /// Sets the rule of a source, or of all others when it is absent.
    Rule {
        /// Source IP address that connections come from.
        source: Option<IpAddr>,
        /// Replaces the previous rule.
        rule: LinkRule,
    },
    /// Permanently drops all bytes of the connections that are open now.
    Silence {
        /// Source IP address that connections come from; all when absent.
        source: Option<IpAddr>,
    },
    /// Resets the connections that are open now.
    Reset {
        /// Source IP address that connections come from; all when absent.
        source: Option<IpAddr>,
    },
}

/// The body of a request to the control listener.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyControl {
    /// Commands, applied in order as one atomic step.
    pub commands: Vec<ProxyCommand>,
}

/// Where a fault proxy listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyAddresses {
    /// For the connections that it forwards.
    pub address: SocketAddr,
    /// For control.
    pub control: SocketAddr,
}

/// Bytes that a fault proxy forwarded for one source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkBytes {
    /// From the source to the target.
    pub to_target: u64,
    /// From the target to the source.
    pub to_source: u64,
    /// Connections that the source opened.
    pub connections: u64,
}

/// The answer to `GET /control/bytes` of a fault proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyCounts {
    /// Bytes by the source's IP address, since the proxy's start.
    pub sources: BTreeMap<IpAddr, LinkBytes>,
}
