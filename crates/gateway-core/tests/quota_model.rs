//! Nodes that share quotas, in virtual time: what reaches workers in any window stays within the
//! operator's tolerance, and tenants below their quotas are not refused.

use std::time::Duration;

use elderworks_gateway_core::quota::{Division, Fleet, QuotaBook, QuotaRules, REPORT_INTERVAL};
use elderworks_gateway_core::tenants::{Quota, TenantKey};
use elderworks_types::{NodeId, Timestamp};

const RULES: QuotaRules = QuotaRules {
    window: Duration::from_secs(5),
    overshoot: 0.1,
    slack: 20.0,
};

const TENANT: TenantKey = TenantKey(7);

/// Length of a step in ms.
const STEP: u64 = 10;

/// A number from 0 to 1 by chance, from a fixed seed.
struct Chance(u64);

impl Chance {
    fn next(&mut self) -> f64 {
        // Steele and others' split mix.
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn below(&mut self, count: usize) -> usize {
        ((self.next() * count as f64) as usize).min(count - 1)
    }
}

/// What is done to the nodes of a day.
#[derive(Clone, Debug)]
struct Day {
    quota: Quota,
    /// Requests a second, as a multiple of the quota's rate.
    demand: f64,
    /// Demand is this many times as much from 8 s to 16 s.
    burst: f64,
    nodes: usize,
    /// Nodes among which callers choose at first; as many as `nodes` if even.
    entries: usize,
    /// Share of reports that are lost.
    lost: f64,
    /// Nodes that are cut off from the others and the log from 10 s to 14 s, and still take callers.
    cut: usize,
    /// Nodes that lose power at 11 s and are back 700 ms later.
    killed: usize,
    /// Nodes that come at 9 s.
    added: usize,
    /// Nodes that stand still from 10 s to 13 s.
    frozen: usize,
}

const CALM: Day = Day {
    quota: Quota {
        per_second: 34.0,
        burst: 34.0,
    },
    demand: 0.62,
    burst: 1.0,
    nodes: 14,
    entries: 14,
    lost: 0.02,
    cut: 0,
    killed: 0,
    added: 0,
    frozen: 0,
};

/// What came of a day.
#[derive(Debug, Default)]
struct Outcome {
    asked: u32,
    refused: u32,
    /// Most requests that reached workers in one window.
    most: u32,
}

struct Node {
    name: NodeId,
    book: QuotaBook,
    starts_at: u64,
    next_report: u64,
}

fn at(ms: u64) -> Timestamp {
    Timestamp((100_000 + ms) * 1_000)
}

const DAY_MS: u64 = 24_000;

fn play(day: &Day, division: Division, seed: u64) -> Outcome {
    let mut chance = Chance(seed);
    let book =
        |number: usize, started: Timestamp| QuotaBook::new(RULES, division, number as u64, started);
    let mut nodes: Vec<Node> = (0..day.nodes + day.added)
        .map(|number| {
            let starts_at = if number < day.nodes { 0 } else { 9_000 };
            let started = if number < day.nodes {
                Timestamp(1)
            } else {
                at(starts_at)
            };
            let mut book = book(number, started);
            book.note_new_machine();
            Node {
                name: NodeId::new(format!("n{number}")),
                book,
                starts_at,
                next_report: starts_at + (number as u64 * 37) % 200,
            }
        })
        .collect();
    let mut outcome = Outcome::default();
    let mut reached: Vec<u64> = Vec::new();
    for step in 0..DAY_MS / STEP {
        let now = step * STEP;
        let is_cut = |number: usize| number < day.cut && (10_000..14_000).contains(&now);
        let is_frozen = |number: usize| {
            (day.cut..day.cut + day.frozen).contains(&number) && (10_000..13_000).contains(&now)
        };
        let is_killed =
            |number: usize| number >= day.nodes.saturating_sub(day.killed) && number < day.nodes;
        let is_down = |number: usize| is_killed(number) && (11_000..11_700).contains(&now);
        if now == 11_700 {
            for number in (0..day.nodes).filter(|&number| is_killed(number)) {
                nodes[number].book = book(number, at(now));
            }
        }
        let count = nodes.iter().filter(|node| node.starts_at <= now).count();
        // Others are seen to come and go a second and a half later.
        let seen = nodes
            .iter()
            .filter(|node| node.starts_at + 1_500 <= now || node.starts_at == 0);
        let seen = u32::try_from(seen.count()).expect("few");
        let fleet = |number: usize| Fleet {
            nodes: seen,
            is_cut_off: is_cut(number) && now >= 12_500,
        };
        for number in 0..count {
            if nodes[number].next_report > now || is_down(number) || is_frozen(number) {
                continue;
            }
            nodes[number].next_report =
                now + u64::try_from(REPORT_INTERVAL.as_millis()).expect("short");
            let told = nodes[number].book.report(at(now), fleet(number));
            let name = nodes[number].name.clone();
            for (other, hearer) in nodes.iter_mut().enumerate().take(count) {
                let reaches =
                    !is_cut(number) && !is_cut(other) && !is_down(other) && !is_frozen(other);
                if other != number && reaches && chance.next() >= day.lost {
                    let told = told.iter().copied();
                    hearer.book.take_report(at(now), name.clone(), told);
                }
            }
        }
        let is_busy = (8_000..16_000).contains(&now);
        let rate = day.quota.per_second * day.demand * if is_busy { day.burst } else { 1.0 };
        let mut due = rate * STEP as f64 / 1_000.0;
        while chance.next() < due {
            due -= 1.0;
            let entries = if now < 9_000 {
                day.entries
            } else {
                day.entries + day.added
            };
            let number = chance.below(entries.min(count));
            if is_down(number) || is_frozen(number) {
                continue;
            }
            outcome.asked += 1;
            let fleet = fleet(number);
            match nodes[number].book.admit(at(now), TENANT, day.quota, fleet) {
                Ok(_) => reached.push(now),
                Err(_) => outcome.refused += 1,
            }
        }
    }
    for (index, first) in reached.iter().enumerate() {
        let within = reached[index..]
            .iter()
            .take_while(|time| **time < first + 5_000);
        outcome.most = outcome
            .most
            .max(u32::try_from(within.count()).expect("few"));
    }
    outcome
}

/// Most requests that the operator accepts in one window.
fn accepted(quota: Quota) -> f64 {
    (quota.per_second * 5.0 + quota.burst) * 1.1 + 20.0
}

const SEEDS: u64 = 12;

fn days_of_trouble() -> Vec<(&'static str, Day)> {
    let quota = |per_second: f64| Quota {
        per_second,
        burst: per_second,
    };
    let hot = Day { burst: 8.0, ..CALM };
    let mut days = Vec::new();
    for per_second in [4.0, 34.0, 395.0] {
        let hot = Day {
            quota: quota(per_second),
            ..hot.clone()
        };
        days.push(("hot", hot.clone()));
        days.push((
            "hot at few nodes",
            Day {
                entries: 3,
                ..hot.clone()
            },
        ));
        days.push((
            "reports lost",
            Day {
                lost: 0.3,
                ..hot.clone()
            },
        ));
        days.push((
            "one cut off",
            Day {
                cut: 1,
                ..hot.clone()
            },
        ));
        days.push((
            "two cut off",
            Day {
                cut: 2,
                ..hot.clone()
            },
        ));
        days.push((
            "two lose power",
            Day {
                killed: 2,
                ..hot.clone()
            },
        ));
        days.push((
            "all lose power",
            Day {
                killed: 14,
                ..hot.clone()
            },
        ));
        days.push((
            "more come",
            Day {
                added: 10,
                ..hot.clone()
            },
        ));
        days.push((
            "two freeze",
            Day {
                frozen: 2,
                ..hot.clone()
            },
        ));
    }
    days
}

#[test]
fn no_window_holds_more_than_the_operator_accepts() {
    let mut broken = Vec::new();
    for (name, day) in days_of_trouble() {
        for seed in 0..SEEDS {
            let outcome = play(&day, Division::Told, seed);
            if f64::from(outcome.most) > accepted(day.quota) {
                broken.push(format!(
                    "{name} at {}/s, seed {seed}: {outcome:?}",
                    day.quota.per_second
                ));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn tenants_below_their_quota_are_not_refused() {
    let days = [
        ("calm", CALM),
        ("at few nodes", Day { entries: 3, ..CALM }),
        (
            "small",
            Day {
                quota: Quota {
                    per_second: 4.0,
                    burst: 4.0,
                },
                ..CALM
            },
        ),
        ("reports lost", Day { lost: 0.2, ..CALM }),
        ("more come", Day { added: 10, ..CALM }),
        ("two lose power", Day { killed: 2, ..CALM }),
        ("all lose power", Day { killed: 14, ..CALM }),
        ("two freeze", Day { frozen: 2, ..CALM }),
    ];
    for (name, day) in days {
        for seed in 0..SEEDS {
            let outcome = play(&day, Division::Told, seed);
            assert!(
                outcome.refused * 200 <= outcome.asked,
                "{name}, seed {seed}: {outcome:?}"
            );
        }
    }
}

#[test]
fn a_hot_tenant_gets_its_quota_and_even_parts_give_it_less_where_demand_is_uneven() {
    let hot = Day {
        burst: 8.0,
        entries: 5,
        ..CALM
    };
    for seed in 0..SEEDS {
        let served = |division| {
            let outcome = play(&hot, division, seed);
            outcome.asked - outcome.refused
        };
        let (told, even) = (served(Division::Told), served(Division::Even));
        // 8 s at 34 a second and 16 s at 21.
        assert!(told > 520, "seed {seed}: {told}");
        assert!(even * 10 < told * 8, "seed {seed}: {even} of {told}");
    }
}

/// Shows that the model can fail: nodes that never hear of each other each hold the whole quota.
#[test]
fn without_reports_the_quota_is_exceeded() {
    let deaf = Day {
        burst: 8.0,
        lost: 1.0,
        ..CALM
    };
    let outcome = play(&deaf, Division::Told, 1);
    assert!(
        f64::from(outcome.most) > accepted(deaf.quota),
        "{outcome:?}"
    );
}
