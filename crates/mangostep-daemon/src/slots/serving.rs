use std::rc::Rc;

use mangostep_wire::peer_capnp::peer_link;

use crate::{
    prelude::*,
    slots::{
        SlotDuty,
        messages::{CellAsk, CellRelease},
    },
};

/// The calls of other hosts.
impl SlotDuty {
    pub(crate) async fn serve_ask(
        self: &Rc<Self>,
        source: &str,
        params: peer_link::AskSlotParams,
        mut results: peer_link::AskSlotResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let clock = self.context.recorder.clock();
        clock.observe(params.get_stamp());
        let ask = CellAsk::read(params.get_ask()?)?;
        let answer = self.ask_here(source, ask).await;
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
            self.release_here(source, &CellRelease::read(release)?);
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
        let ask = params.get_ask()?;
        let hold = Duration::from_micros(ask.get_hold_us());
        let service = ask.get_service()?.to_str()?;
        let decision = if ask.get_eject() {
            self.eject_here(service, ask.get_server()?.to_str()?, hold)
        } else {
            None
        };
        let mut answer = results.get();
        answer.set_stamp(clock.tick());
        answer.set_granted(decision == Some(true));
        answer.set_arbiter(decision.is_some());
        Ok(())
    }

    pub(crate) fn serve_news(
        &self,
        params: &peer_link::HandOverParams,
        mut results: peer_link::HandOverResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let clock = self.context.recorder.clock();
        clock.observe(params.get_stamp());
        let resource = params.get_resource()?.to_str()?;
        let is_taken = self.take_news(resource, params.get_epoch(), params.get_state()?);
        let mut answer = results.get();
        answer.set_stamp(clock.tick());
        answer.set_taken(is_taken);
        Ok(())
    }
}
