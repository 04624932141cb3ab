//! Tests the classification of appends.

use elderworks_gateway_core::log_call_purpose::LogCallPurpose;
use elderworks_protocol::ledger::LedgerRecord;

fn reserved() -> LedgerRecord {
    LedgerRecord::Reserved {
        program: "p".to_owned(),
        reservation: "n#1/1".to_owned(),
        tokens: 10,
    }
}

fn settled() -> LedgerRecord {
    LedgerRecord::Settled {
        program: "p".to_owned(),
        reservation: "n#1/1".to_owned(),
        used: 3,
    }
}

fn account() -> LedgerRecord {
    LedgerRecord::Account {
        program: "p".to_owned(),
        settled: 3,
        open: Vec::new(),
    }
}

fn closed() -> LedgerRecord {
    LedgerRecord::OverdraftClosed {
        overdraft: "n#1/2".to_owned(),
    }
}

#[test]
fn the_purpose_that_callers_wait_for_takes_precedence() {
    let table = [
        (vec![settled(), reserved()], LogCallPurpose::Reserve),
        (vec![closed(), settled()], LogCallPurpose::Overdraft),
        (vec![settled()], LogCallPurpose::Settle),
        (vec![account()], LogCallPurpose::Rewrite),
        (vec![account(), settled()], LogCallPurpose::Settle),
    ];
    for (records, expected) in table {
        assert_eq!(LogCallPurpose::of_append(&records), expected, "{records:?}");
    }
}
