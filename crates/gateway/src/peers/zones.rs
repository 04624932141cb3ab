//! Exchange of zone evacuations, for nodes that the log refuses while it serves other nodes and the
//! operator.

use elderworks_gateway_core::evacuations::EvacuationOrder;
use elderworks_protocol::gateway::ZoneReport;

use crate::gateway::Gateway;
use crate::watch;

/// Returns the evacuations known to this node.
pub(crate) fn reports(gateway: &Gateway) -> Vec<ZoneReport> {
    let evacuations = gateway.evacuations.borrow();
    let reports = evacuations.orders().map(|(zone, order)| ZoneReport {
        zone: zone.to_owned(),
        offset: order.offset,
        is_on: order.is_on,
    });
    reports.collect()
}

/// Applies the evacuations known to another node.
pub(crate) fn receive(gateway: &Gateway, reports: &[ZoneReport]) {
    for report in reports {
        let order = EvacuationOrder {
            offset: report.offset,
            is_on: report.is_on,
        };
        watch::apply_evacuation_order(gateway, &report.zone, order, "node");
    }
}
