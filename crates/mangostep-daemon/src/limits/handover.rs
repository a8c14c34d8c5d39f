use std::{net::SocketAddr, rc::Rc};

use {
    mangostep_policy::{HandoverState, HomeKey},
    mangostep_wire::peer_capnp::peer_link,
};

use crate::{limits::LimitDuty, prelude::*};

const HANDOVER_TIMEOUT: Duration = Duration::from_millis(500);

impl LimitDuty {
    /// Opens the homes that this host holds, and closes those that it no
    /// longer holds, sending their state to the next holder.
    pub(super) fn update_homes(self: &Rc<Self>) {
        let context = &self.context;
        let now = context.clock.now();
        let fleet = context.fleet.load_full();
        for resource in fleet.holders.keys() {
            let Some(key) = HomeKey::parse(resource) else {
                continue;
            };
            if let Some(epoch) = context.held_epoch(resource, now) {
                self.table.borrow_mut().ensure_open(now, key, epoch);
            }
        }
        let open = self.table.borrow().open_epochs();
        for (key, epoch) in open {
            let Some(holder) = fleet.holder(&key.resource()) else {
                continue;
            };
            let is_own =
                holder.host == context.settings.host && holder.incarnation == context.incarnation;
            if is_own || holder.epoch <= epoch {
                continue;
            }
            let state = self.table.borrow_mut().close(now, key);
            let next = fleet.host(&holder.host).map(|host| host.peer);
            // After further epochs this state is no longer the latest one.
            let is_next = holder.epoch == epoch + 1;
            if let (Some(state), Some(peer), true) = (state, next, is_next) {
                tokio::task::spawn_local(self.clone().hand_over(peer, key, epoch, state));
            }
        }
    }

    async fn hand_over(
        self: Rc<Self>,
        peer: SocketAddr,
        key: HomeKey,
        epoch: u64,
        state: HandoverState,
    ) {
        let Ok(body) = serde_json::to_vec(&state) else {
            return;
        };
        let stamp = self.context.recorder.clock().tick();
        let call = |link: peer_link::Client| async move {
            let mut request = link.hand_over_request();
            let mut params = request.get();
            params.set_stamp(stamp);
            params.set_resource(key.resource());
            params.set_epoch(epoch);
            params.set_state(&body);
            let response = request.send().promise.await?;
            Ok(response.get()?.get_taken())
        };
        let result = self
            .links
            .call(peer, "hand over", HANDOVER_TIMEOUT, call)
            .await;
        let taken = matches!(result, Ok(true));
        let fields = [("resource", key.resource()), ("taken", taken.to_string())];
        let fields = fields.each_ref().map(|(name, text)| (*name, text.as_str()));
        self.context.recorder.record("home-handed-over", &fields);
    }

    /// Accepts the state of a home from its previous holder.
    pub(crate) fn serve_handover(
        &self,
        params: &peer_link::HandOverParams,
        mut results: peer_link::HandOverResults,
    ) -> Result<(), capnp::Error> {
        let context = &self.context;
        let params = params.get()?;
        context.recorder.clock().observe(params.get_stamp());
        let key = HomeKey::parse(params.get_resource()?.to_str()?);
        let state = serde_json::from_slice(params.get_state()?);
        let taken = if let (Some(key), Ok(state)) = (key, state) {
            let now = context.clock.now();
            let epoch = params.get_epoch();
            self.table
                .borrow_mut()
                .accept_handover(now, key, epoch, state);
            true
        } else {
            false
        };
        let mut answer = results.get();
        answer.set_stamp(context.recorder.clock().tick());
        answer.set_taken(taken);
        Ok(())
    }
}
