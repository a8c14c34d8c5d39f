//! TCP proxy that forwards to one target and injects faults by source IP
//! address.

mod control;
mod relay;

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::{
    http::{HttpResponse, HttpStream, RequestBody, RequestHead, accept_connections},
    proxy::relay::{LinkCounter, ProxyLink, relay},
};

pub use crate::proxy::control::{
    ConnectMode, LinkBytes, LinkFlow, LinkRule, ProxyAddresses, ProxyCommand, ProxyControl,
    ProxyCounts,
};

/// A fault proxy in front of one target.
#[derive(Debug)]
pub struct FaultProxy {
    listener: TcpListener,
    control: TcpListener,
    state: Arc<Mutex<ProxyState>>,
}

/// Controls a [`FaultProxy`] of the same process.
#[derive(Clone, Debug)]
pub struct ProxyHandle(Arc<Mutex<ProxyState>>);

impl ProxyHandle {
    /// Runs a command.
    pub fn run(&self, command: ProxyCommand) {
        lock(&self.0).run(command);
    }
}

#[derive(Debug)]
struct ProxyState {
    target: Option<SocketAddr>,
    /// Rules for single sources, which take precedence over `rule`.
    rules: Vec<(IpAddr, LinkRule)>,
    rule: LinkRule,
    links: Vec<ProxyLink>,
    counters: HashMap<IpAddr, Arc<LinkCounter>>,
}

impl FaultProxy {
    /// Binds both listeners; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub async fn bind(
        listen: SocketAddr,
        control: SocketAddr,
        target: Option<SocketAddr>,
    ) -> std::io::Result<Self> {
        Ok(FaultProxy {
            listener: TcpListener::bind(listen).await?,
            control: TcpListener::bind(control).await?,
            state: Arc::new(Mutex::new(ProxyState {
                target,
                rules: Vec::new(),
                rule: LinkRule::default(),
                links: Vec::new(),
                counters: HashMap::new(),
            })),
        })
    }

    /// Returns a handle that controls the proxy while it runs.
    pub fn handle(&self) -> ProxyHandle {
        ProxyHandle(Arc::clone(&self.state))
    }

    /// The addresses that were bound.
    ///
    /// # Errors
    ///
    /// Fails when the operating system cannot report them.
    pub fn addresses(&self) -> std::io::Result<ProxyAddresses> {
        Ok(ProxyAddresses {
            address: self.listener.local_addr()?,
            control: self.control.local_addr()?,
        })
    }

    /// Accepts connections indefinitely.
    pub async fn run(self) {
        let state = self.state;
        let forwarding = accept_connections(self.listener, |stream, source| {
            accept(&state, stream, source.ip());
        });
        let controlling = accept_connections(self.control, |stream, _| {
            tokio::spawn(serve_control(state.clone(), HttpStream::new(stream)));
        });
        tokio::join!(forwarding, controlling);
    }
}

fn accept(state: &Mutex<ProxyState>, stream: TcpStream, source: IpAddr) {
    let mut state = lock(state);
    let rule = state.rule_of(source);
    let target = match (rule.connect, state.target) {
        (ConnectMode::Refuse, _) | (_, None) => {
            // If the option cannot be set, the connection closes with a FIN.
            let _ = stream.set_zero_linger();
            return;
        }
        (ConnectMode::Hang, _) => None,
        (ConnectMode::Pass, target) => target,
    };
    state.links.retain(|link| !link.rule.is_closed());
    let (sender, receiver) = watch::channel(rule);
    state.links.push(ProxyLink {
        source,
        rule: sender,
    });
    let counter = state.counters.entry(source).or_default().clone();
    tokio::spawn(relay(stream, target, receiver, counter));
}

impl ProxyState {
    fn counts(&self) -> ProxyCounts {
        let read = |counter: &LinkCounter| LinkBytes {
            to_target: counter.to_target.load(Ordering::Relaxed),
            to_source: counter.to_source.load(Ordering::Relaxed),
            connections: counter.connections.load(Ordering::Relaxed),
        };
        let sources = self.counters.iter();
        ProxyCounts {
            sources: sources
                .map(|(source, counter)| (*source, read(counter)))
                .collect(),
        }
    }

    fn rule_of(&self, source: IpAddr) -> LinkRule {
        self.rules
            .iter()
            .find(|(other, _)| *other == source)
            .map_or(self.rule, |(_, rule)| *rule)
    }

    fn run(&mut self, command: ProxyCommand) {
        match command {
            ProxyCommand::Target(target) => self.target = Some(target),
            ProxyCommand::Clear => {
                self.rules.clear();
                self.rule = LinkRule::default();
                self.update_open_links();
            }
            ProxyCommand::Rule { source, rule } => {
                match source {
                    Some(source) => {
                        self.rules.retain(|(other, _)| *other != source);
                        self.rules.push((source, rule));
                    }
                    None => self.rule = rule,
                }
                self.update_open_links();
            }
            ProxyCommand::Silence { source } => self.break_open_links(source, LinkRule::SILENT),
            ProxyCommand::Reset { source } => self.break_open_links(source, LinkRule::RESET),
        }
    }

    /// Applies the current rules to the open connections.
    fn update_open_links(&self) {
        for link in &self.links {
            let rule = self.rule_of(link.source);
            link.rule.send_if_modified(|current| {
                let changed = !current.is_final && *current != rule;
                if changed {
                    *current = rule;
                }
                changed
            });
        }
    }

    /// Sets a final rule on the connections that are open now.
    fn break_open_links(&self, source: Option<IpAddr>, rule: LinkRule) {
        for link in &self.links {
            if source.is_none_or(|source| source == link.source) {
                link.rule.send_replace(rule);
            }
        }
    }
}

async fn serve_control(state: Arc<Mutex<ProxyState>>, mut stream: HttpStream) {
    while let Ok(Some(head)) = stream.read_head().await {
        let Ok(body) = stream.read_body(&head, 1 << 20).await else {
            return;
        };
        let answer = handle_control(&state, &head, &body);
        if stream.write_response(&answer).await.is_err() {
            return;
        }
    }
}

fn handle_control(
    state: &Mutex<ProxyState>,
    head: &RequestHead,
    body: &RequestBody,
) -> HttpResponse {
    if (head.method.as_str(), head.path()) == ("GET", "/control/bytes") {
        return HttpResponse::json(&lock(state).counts());
    }
    match body.json::<ProxyControl>() {
        Ok(control) => {
            let mut state = lock(state);
            for command in control.commands {
                state.run(command);
            }
            HttpResponse::new(204, "")
        }
        Err(message) => HttpResponse::new(400, message),
    }
}

fn lock(state: &Mutex<ProxyState>) -> MutexGuard<'_, ProxyState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
