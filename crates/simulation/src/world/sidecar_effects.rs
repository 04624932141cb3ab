//! Executes the effects of a sidecar's core, as its driver does in production.

use std::time::Duration;

use elderworks_sidecar_core::Effect;

use super::World;
use super::callers::LOCAL_DELAY;
use super::event::{CallerEvent, Event, SidecarStart};
use crate::kernel::{Direction, Endpoint};

impl World {
    pub(super) fn execute_sidecar_effect(&mut self, from: SidecarStart, effect: Effect) {
        match effect {
            Effect::Connect { address } => {
                let node = self.node_by_address(address).unwrap_or_default();
                let direction = Direction {
                    from: Endpoint::Sidecar(from.sidecar),
                    to: Endpoint::Node(node),
                };
                let delay: Duration = self.network.delay(false, direction);
                self.schedule(delay, Event::Connect { from, address });
            }
            Effect::Send { address, message } => self.send_from_sidecar(from, address, message),
            Effect::Reply { request, reply } => {
                let Some(pending) = self.caller_requests.get(&request) else {
                    return;
                };
                let event = Event::Caller {
                    caller: pending.caller,
                    event: CallerEvent::Reply {
                        request,
                        reply: Box::new(reply),
                    },
                };
                self.schedule(LOCAL_DELAY, event);
            }
        }
    }
}
