//! Exchange of zone evacuations, for nodes that the log refuses while it serves other nodes and the
//! operator.

use elderworks_gateway_core::evacuations::EvacuationOrder;
use elderworks_protocol::gateway::ZoneReport;

use crate::gateway::Gateway;
use crate::watch;

/// Returns the evacuations known to this node.
pub(crate) fn reports(gateway: &Gateway) -> Vec<ZoneReport> {
    let evacuations = gateway.evacuations.borrow();
    let wishes = evacuations.orders().map(|(zone, wish)| ZoneReport {
        zone: zone.to_owned(),
        offset: wish.offset,
        is_on: wish.is_on,
    });
    wishes.collect()
}

/// Applies the evacuations known to another node.
pub(crate) fn receive(gateway: &Gateway, reports: &[ZoneReport]) {
    for report in reports {
        let wish = EvacuationOrder {
            offset: report.offset,
            is_on: report.is_on,
        };
        watch::apply_zone_wish(gateway, &report.zone, wish, "node");
    }
}
