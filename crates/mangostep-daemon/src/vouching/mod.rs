//! Vouching: hosts confirm to each other that they are alive while the store
//! is unreachable.
//!
//! A host whose lease is in doubt asks all members whether theirs are in doubt
//! too. During an outage of the store the hosts thus keep their standing,
//! while the standing of a host that alone is partitioned from it lapses.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc};

use mangostep_policy::Standing;

use crate::{peer::PeerLinks, prelude::*, relay::RelayDuty, shared_lease::MemberAnswer};

const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Requests vouches from the members on the peer thread.
pub(crate) struct VouchDuty {
    context: Arc<HostContext>,
    links: Rc<PeerLinks>,
    relay: Rc<RelayDuty>,
    /// Configuration version and peer address of each member that answered, by
    /// host name.
    versions: RefCell<HashMap<String, (u64, SocketAddr)>>,
}

impl VouchDuty {
    pub(crate) fn new(
        context: Arc<HostContext>,
        links: Rc<PeerLinks>,
        relay: Rc<RelayDuty>,
    ) -> Self {
        VouchDuty {
            context,
            links,
            relay,
            versions: RefCell::default(),
        }
    }

    /// Sends vouch requests to the members while the store does not answer.
    ///
    /// The versions in the answers are used at once, and the vouches once this
    /// host's lease is in doubt.
    pub(crate) async fn run(self: Rc<Self>) {
        let request_interval = self.context.settings.lease.vouch_request_interval;
        let mut last_request = MonotonicTime::ZERO;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let context = &self.context;
            context.lease.publish_standing(context);
            let now = context.clock.now();
            if self.needs_vouching(now) && now.since(last_request) >= request_interval {
                last_request = now;
                self.request_vouches();
            }
        }
    }

    fn needs_vouching(&self, now: MonotonicTime) -> bool {
        let lease = &self.context.lease;
        lease.has_missed_renewals(now) || lease.standing(now) == Standing::Lapsed
    }

    fn request_vouches(self: &Rc<Self>) {
        let fleet = self.context.fleet.load();
        for member in self.context.lease.members().members() {
            let host = fleet.host(member);
            let Some(host) = host.filter(|host| host.name != self.context.settings.host) else {
                continue;
            };
            let (duty, name, peer) = (self.clone(), host.name.clone(), host.peer);
            tokio::task::spawn_local(async move { duty.request_vouch(&name, peer).await });
        }
    }

    async fn request_vouch(&self, name: &str, peer: SocketAddr) {
        let context = &self.context;
        let sent = context.clock.now();
        let limit = context.settings.lease.answer_limit;
        let stamp = context.recorder.clock().tick();
        let members = context.lease.members().version();
        let call = async |link: mangostep_wire::peer_capnp::peer_link::Client| {
            let mut request = link.vouch_request();
            request.get().set_stamp(stamp);
            request.get().set_member_set(members);
            let response = request.send().promise.await?;
            let response = response.get()?;
            context.recorder.clock().observe(response.get_stamp());
            let answer = response.get_answer()?;
            Ok(MemberAnswer {
                host: answer.get_host()?.to_string()?,
                sent,
                in_doubt: answer.get_in_doubt(),
                version: answer.get_version(),
                fresh_for: Duration::from_micros(answer.get_fresh_us()),
            })
        };
        // An unreachable member counts as one that does not vouch.
        let Ok(answer) = self.links.call(peer, "vouch", limit, call).await else {
            return;
        };
        // The address may have been reassigned to another host.
        if answer.host != name {
            return;
        }
        context.lease.record_answer(context, &answer);
        let entry = (answer.version, peer);
        self.versions.borrow_mut().insert(answer.host, entry);
        if let Some(peer) = self.newest_peer() {
            self.relay.fetch_snapshot(peer).await;
        }
    }

    /// The peer with the largest reported configuration version, if that is
    /// larger than the version in force.
    ///
    /// A host without a configuration waits for answers from a majority of the
    /// members, so that it does not start with an outdated configuration.
    fn newest_peer(&self) -> Option<SocketAddr> {
        let own_version = self.context.snapshot.load().version();
        let versions = self.versions.borrow();
        if own_version == 0 && versions.len() < self.context.lease.members().majority() {
            return None;
        }
        let (version, peer) = versions.values().max_by_key(|(version, _)| *version)?;
        (*version > own_version).then_some(*peer)
    }
}
