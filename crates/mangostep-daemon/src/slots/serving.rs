use std::rc::Rc;

use mangostep_wire::peer_capnp::peer_link;

use crate::{
    prelude::*,
    slots::{
        SlotDuty,
        messages::{CellRelease, CellRequest},
    },
};

/// Handlers of calls from other hosts.
impl SlotDuty {
    pub(crate) async fn serve_request(
        self: &Rc<Self>,
        source: &str,
        params: peer_link::AskSlotParams,
        mut results: peer_link::AskSlotResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let clock = self.context.recorder.clock();
        clock.observe(params.get_stamp());
        let request = CellRequest::read(params.get_ask()?)?;
        let answer = self.request_locally(source, request).await;
        results.get().set_stamp(clock.tick());
        answer.write(results.get().init_answer());
        Ok(())
    }

    pub(crate) fn serve_releases(
        self: &Rc<Self>,
        source: &str,
        params: &peer_link::ReleaseSlotsParams,
        mut results: peer_link::ReleaseSlotsResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let clock = self.context.recorder.clock();
        clock.observe(params.get_stamp());
        for release in params.get_releases()? {
            self.release_locally(source, &CellRelease::read(release)?);
        }
        results.get().set_stamp(clock.tick());
        Ok(())
    }

    pub(crate) fn serve_ejection(
        &self,
        params: &peer_link::AskEjectionParams,
        mut results: peer_link::AskEjectionResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let clock = self.context.recorder.clock();
        clock.observe(params.get_stamp());
        let request = params.get_ask()?;
        let hold = Duration::from_micros(request.get_hold_us());
        let service = request.get_service()?.to_str()?;
        let decision = if request.get_eject() {
            self.decide_ejection(service, request.get_server()?.to_str()?, hold)
        } else {
            None
        };
        let mut answer = results.get();
        answer.set_stamp(clock.tick());
        answer.set_granted(decision == Some(true));
        answer.set_arbiter(decision.is_some());
        Ok(())
    }

    pub(crate) fn serve_update(
        &self,
        params: &peer_link::HandOverParams,
        mut results: peer_link::HandOverResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let clock = self.context.recorder.clock();
        clock.observe(params.get_stamp());
        let resource = params.get_resource()?.to_str()?;
        let is_accepted = self.receive_update(resource, params.get_epoch(), params.get_state()?);
        let mut answer = results.get();
        answer.set_stamp(clock.tick());
        answer.set_taken(is_accepted);
        Ok(())
    }
}
