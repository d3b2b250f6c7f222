//! Pools of servers. Each pool has its own decision module, which knows only the servers of its pool. A pool that is
//! missing from a new limits file is kept for as long as a request may still belong to it.

use crate::places::Places;
use dunlincleat::Balancer;
use dunlincleat::api::{Action, Event, ListKind, Member, ServerId, Settings, Span, State, Time};
use dunlincleat_directory::Entry;
use dunlincleat_limits::routes::PoolRule;
use dunlincleat_limits::{Rule, RuleSet};
use dunlincleat_settings::{Site, common_name};
use std::collections::BTreeMap;

/// How long a front may take from looking up the rule of a request to passing the request to the engine.
const HANDED_IN: Span = Span(10_000_000);

/// Identifies a pool, and its decision module, within one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotId(u32);

impl SlotId {
    /// The pool of all servers.
    pub const ALL: SlotId = SlotId(0);
}

struct Slot {
    /// Rule that selects the servers of the pool; none for the pool of all servers.
    rule: Option<PoolRule>,
    balancer: Balancer,
    /// When a new limits file dropped the pool.
    gone: Option<Time>,
}

/// A server as last listed.
struct Known {
    member: Member,
    zone: String,
    model: String,
}

/// All pools of one engine.
pub struct Pools {
    settings: Settings,
    zones: Vec<String>,
    seed: u64,
    longest: Span,
    slots: BTreeMap<SlotId, Slot>,
    next: u32,
    listed: BTreeMap<u32, Known>,
}

fn selects(rule: Option<&PoolRule>, known: &Known) -> bool {
    let Member { cell, weight, .. } = known.member;
    rule.is_none_or(|rule| rule.selects(&known.zone, &known.model, cell, weight))
}

impl Pools {
    /// Creates the pool of all servers.
    #[must_use]
    pub fn new(site: &Site, seed: u64, longest: Span) -> Pools {
        let settings = site.settings.clone();
        let balancer = Balancer::new(settings.clone(), seed);
        let slots = BTreeMap::from([(SlotId::ALL, Slot { rule: None, balancer, gone: None })]);
        Pools { settings, zones: site.zones.clone(), seed, longest, slots, next: 1, listed: BTreeMap::new() }
    }

    /// Returns the ids of all pools.
    #[must_use]
    pub fn slots(&self) -> Vec<SlotId> {
        self.slots.keys().copied().collect()
    }

    /// Returns the number of listed servers that the decision module over all servers currently avoids.
    #[must_use]
    pub fn avoided(&self, now: Time) -> usize {
        self.slots.get(&SlotId::ALL).map_or(0, |slot| slot.balancer.avoided(now))
    }

    /// Passes an event to the decision module of a pool. Events of a removed pool are dropped.
    pub fn on_event(&mut self, now: Time, slot: SlotId, event: Event<'_>, actions: &mut Vec<Action>) {
        if let Some(slot) = self.slots.get_mut(&slot) {
            slot.balancer.on_event(now, event, actions);
        }
    }

    /// Returns the pool that serves requests under `rule`.
    #[must_use]
    pub fn of(&self, now: Time, rule: &Rule, places: &Places) -> SlotId {
        let named = |name: &str| {
            let named = |slot: &&Slot| slot.rule.as_ref().is_some_and(|rule| rule.name == name);
            // If two pools have the same name, the one with the larger id is from the newer file.
            self.slots.iter().rev().find(|(_, slot)| named(slot))
        };
        let health = |name: &str| {
            let Some((_, slot)) = named(name) else { return (0, 0) };
            let ready = self.listed.values().filter(|known| known.member.state == State::Ready);
            let mine = ready.filter(|known| selects(slot.rule.as_ref(), known));
            mine.fold((0, 0), |(all, well), known| {
                let healthy = places.get(known.member.server).is_some_and(|place| place.healthy(now));
                (all + 1, well + usize::from(healthy))
            })
        };
        rule.pool(health).and_then(named).map_or(SlotId::ALL, |(id, _)| *id)
    }

    /// Applies a list, or changes to it. `numbers` holds the server ids of `entries`. Returns the members to report to
    /// the decision module of each pool.
    pub fn listed(
        &mut self,
        now: Time,
        kind: ListKind,
        entries: &[Entry],
        numbers: &[ServerId],
    ) -> Vec<(SlotId, Vec<Member>)> {
        let over = Span(self.longest.0.saturating_add(HANDED_IN.0));
        self.slots.retain(|_, slot| slot.gone.is_none_or(|gone| now - gone <= over));
        let whole = kind != ListKind::Changes;
        let mut told = Vec::with_capacity(entries.len());
        if whole {
            self.listed.clear();
        }
        for (entry, server) in entries.iter().zip(numbers) {
            let zone = self.zones.iter().position(|z| *z == entry.zone);
            let member = Member {
                server: *server,
                born: Time(entry.boot_ms.saturating_mul(1000)),
                weight: entry.weight,
                zone: zone.unwrap_or(self.zones.len()) as u32,
                cell: entry.cell,
                state: entry.state,
                common: common_name(&entry.uid),
            };
            let known = Known { member, zone: entry.zone.clone(), model: entry.model.clone() };
            told.push((member, self.listed.insert(server.0, known)));
        }
        let of = |rule: Option<&PoolRule>| -> Vec<Member> {
            let mine = told.iter().filter_map(|(member, before)| {
                let now = self.listed.get(&member.server.0).is_some_and(|known| selects(rule, known));
                let was = before.as_ref().is_some_and(|known| selects(rule, known));
                // A server that the pool no longer selects is removed from the pool. An entry of a server that is
                // draining or gone may lack its zone and cell, so it goes to the pool of all servers in any case.
                let state = if now { member.state } else { State::Gone };
                (now || was || member.state != State::Ready && rule.is_none())
                    .then_some(Member { state, ..*member })
            });
            mine.collect()
        };
        let each = self.slots.iter().map(|(id, slot)| (*id, of(slot.rule.as_ref()))).collect();
        self.listed.retain(|_, known| known.member.state != State::Gone);
        each
    }

    /// Applies new settings to pools created later; returns the existing pools, which must be notified.
    pub fn settle(&mut self, site: &Site, longest: Span) -> Vec<SlotId> {
        (self.settings, self.longest) = (site.settings.clone(), longest);
        self.slots()
    }

    /// Applies the pools of a new limits file; returns each new pool with its servers.
    pub fn adopt(&mut self, now: Time, rules: &RuleSet) -> Vec<(SlotId, Vec<Member>)> {
        for slot in self.slots.values_mut().filter(|slot| slot.rule.is_some()) {
            let stays = rules.pools().iter().any(|pool| slot.rule.as_ref() == Some(pool));
            slot.gone = if stays { None } else { slot.gone.or(Some(now)) };
        }
        let mut new = Vec::new();
        for pool in rules.pools() {
            if self.slots.values().any(|slot| slot.rule.as_ref() == Some(pool)) {
                continue;
            }
            let id = SlotId(self.next);
            self.next += 1;
            // Each pool draws independently, and identically in each run with the same seed.
            let seed = self.seed ^ u64::from(id.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let balancer = Balancer::new(self.settings.clone(), seed);
            self.slots.insert(id, Slot { rule: Some(pool.clone()), balancer, gone: None });
            let mine = self.listed.values().filter(|known| selects(Some(pool), known));
            new.push((id, mine.map(|known| known.member).collect()));
        }
        new
    }
}
