//! Nodes tell each other which zones' workers are to get nothing more: the log may turn some nodes away
//! while it serves others and the operator.

use elderworks_gateway_core::evacuations::EvacuationOrder;
use elderworks_protocol::gateway::ZoneReport;

use crate::gateway::Gateway;
use crate::watch;

/// What this node knows, for another one.
pub(crate) fn reports(gateway: &Gateway) -> Vec<ZoneReport> {
    let evacuations = gateway.evacuations.borrow();
    let wishes = evacuations.orders().map(|(zone, wish)| ZoneReport {
        zone: zone.to_owned(),
        offset: wish.offset,
        is_on: wish.is_on,
    });
    wishes.collect()
}

/// Takes what another node knows.
pub(crate) fn take(gateway: &Gateway, reports: &[ZoneReport]) {
    for report in reports {
        let wish = EvacuationOrder {
            offset: report.offset,
            is_on: report.is_on,
        };
        watch::take_zone_wish(gateway, &report.zone, wish, "node");
    }
}
