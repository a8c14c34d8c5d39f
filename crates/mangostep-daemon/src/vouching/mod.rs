//! Vouching: what hosts without the store say of each other.
//!
//! A host in doubt asks all members whether they are in doubt too. So the
//! hosts of a fleet whose store is away keep their standing, and a host that
//! is cut off alone does not.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc};

use mangostep_policy::Standing;

use crate::{peer::PeerLinks, prelude::*, relay::RelayDuty, shared_lease::MemberAnswer};

/// How often a host that holds its lease looks at its standing.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// The peer thread's part in vouching.
pub(crate) struct VouchDuty {
    context: Arc<HostContext>,
    links: Rc<PeerLinks>,
    relay: Rc<RelayDuty>,
    /// Versions that members answered, with their addresses.
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

    /// Asks the members whenever the store does not answer this host.
    ///
    /// Their versions are of use at once, their vouches once it is in doubt.
    pub(crate) async fn run(self: Rc<Self>) {
        let ask_every = self.context.settings.lease.vouch_request_interval;
        let mut asked = MonotonicTime::ZERO;
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            let context = &self.context;
            context.lease.look(context);
            let now = context.clock.now();
            if self.needs_members(now) && now.since(asked) >= ask_every {
                asked = now;
                self.ask_members();
            }
        }
    }

    fn needs_members(&self, now: MonotonicTime) -> bool {
        let lease = &self.context.lease;
        lease.is_unsure(now) || lease.standing(now) == Standing::Lapsed
    }

    fn ask_members(self: &Rc<Self>) {
        let fleet = self.context.fleet.load();
        for member in self.context.lease.members().members() {
            let host = fleet.host(member);
            let Some(host) = host.filter(|host| host.name != self.context.settings.host) else {
                continue;
            };
            let (duty, name, peer) = (self.clone(), host.name.clone(), host.peer);
            tokio::task::spawn_local(async move { duty.ask_member(&name, peer).await });
        }
    }

    async fn ask_member(&self, name: &str, peer: SocketAddr) {
        let context = &self.context;
        let asked = context.clock.now();
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
                asked,
                in_doubt: answer.get_in_doubt(),
                version: answer.get_version(),
                fresh_for: Duration::from_micros(answer.get_fresh_us()),
            })
        };
        // A member that cannot be reached does not vouch; that is all.
        let Ok(answer) = self.links.call(peer, "vouch", limit, call).await else {
            return;
        };
        // The address may belong to another host by now.
        if answer.host != name {
            return;
        }
        context.lease.take_answer(context, &answer);
        let known = (answer.version, peer);
        self.versions.borrow_mut().insert(answer.host, known);
        if let Some(peer) = self.peer_ahead() {
            self.relay.fetch_snapshot(peer).await;
        }
    }

    /// The peer that answered the largest version, if it is larger than the
    /// one in force.
    ///
    /// A host without a configuration waits for a majority of the members, so
    /// that it does not begin with an old one.
    fn peer_ahead(&self) -> Option<SocketAddr> {
        let own = self.context.snapshot.load().version();
        let versions = self.versions.borrow();
        if own == 0 && versions.len() < self.context.lease.members().majority() {
            return None;
        }
        let (version, peer) = versions.values().max_by_key(|(version, _)| *version)?;
        (*version > own).then_some(*peer)
    }
}
