//! Tables of the capacity page, written from the plan and the figures.

use super::figures::{Cell, How, Limit, Role, Row, Unit, VOID, Value, When, Work, answered, median};
use super::results::{Day, Results, Run, Seen, Verdict};
use super::show::{amount, count, digits, factor, part};
use crate::plan::{Change, Plan};
use std::collections::BTreeMap;

/// Content of a cell without a value.
const NONE: &str = "-";

/// A Markdown table.
struct Table(String);

impl Table {
    fn new(heads: &[&str]) -> Table {
        Table(format!("| {} |\n|{}\n", heads.join(" | "), " --- |".repeat(heads.len())))
    }

    fn row(&mut self, cells: &[String]) {
        // An unescaped bar would end the cell.
        let cells: Vec<String> = cells.iter().map(|cell| cell.replace('|', "\\|")).collect();
        self.0.push_str(&format!("| {} |\n", cells.join(" | ")));
    }
}

/// The figure without its derivation.
fn figure(cell: &Cell, unit: Unit) -> String {
    match cell {
        Ok(value) => {
            let least = if value.least { "at least " } else { "" };
            format!("{least}{}{}", amount(value.is, unit), if value.beyond { " †" } else { "" })
        }
        Err(why) => why.clone(),
    }
}

/// The derivation and the figure.
fn worked(cell: &Cell, unit: Unit) -> String {
    match cell {
        Ok(value) => format!("{} = {}", value.working, figure(cell, unit)),
        Err(why) => why.clone(),
    }
}

/// Headroom of a limit; an upper bound where a part of the figure was not measured.
fn room_of(cell: &Cell, room: f64) -> String {
    let most = if cell.as_ref().is_ok_and(|value| value.least) { "at most " } else { "" };
    format!("{most}{}", factor(room))
}

fn headroom(row: &Row, plan: &Plan, side: usize) -> String {
    row.headroom(plan, side).map_or_else(|| NONE.to_owned(), |room| room_of(&row.cells[side], room))
}

/// The runs that a row is based on.
fn from(row: &Row) -> String {
    let mut names: Vec<&str> = Vec::new();
    for value in row.cells.iter().flatten() {
        names.extend(value.from.iter().map(String::as_str));
    }
    names.sort_unstable();
    names.dedup();
    if names.is_empty() { "the plan alone".into() } else { names.join(", ") }
}

/// All tables by name.
pub fn all(plan: &Plan, results: &Results) -> BTreeMap<&'static str, String> {
    let work = Work { plan, results };
    let mut rows = work.played();
    rows.extend(work.worked());
    let mut tables = BTreeMap::from([
        ("answer", answer(plan, &rows)),
        ("drivers", drivers(&work)),
        ("changes", changes(plan)),
        ("rank", rank(plan, &rows)),
        ("failures", failures(&work, &rows)),
        ("recovery", recovery(&work, &rows)),
        ("region", region(&work)),
        ("growth", growth(plan, results)),
        ("sizes", sizes(results)),
        ("verdicts", verdicts(results)),
        ("added", added(results)),
        ("hollow-real", hollow_real(results)),
        ("slopes", slopes(results)),
        ("runs", runs(results)),
        ("role-hub", hub(&work)),
        ("role-called", called(&work)),
        ("role-voter", voter(results)),
        ("left", left(results)),
    ]);
    for (name, role) in
        [("role-caller", Role::Caller), ("role-follower", Role::Follower), ("role-control", Role::Control)]
    {
        tables.insert(name, of_role(plan, &rows, role));
    }
    tables
}

/// The row with the smallest headroom on a side (0 without the interest set, 1 with it).
fn worst<'a>(plan: &Plan, rows: &[&'a Row], side: usize) -> Option<(&'a Row, f64)> {
    let with = rows.iter().filter_map(|row| Some((*row, row.headroom(plan, side)?)));
    with.min_by(|a, b| a.1.total_cmp(&b.1))
}

fn answer(plan: &Plan, rows: &[Row]) -> String {
    let mut table = Table::new(&[
        "limit",
        "how",
        "without the interest set: most, when",
        "headroom",
        "with it: most, when",
        "headroom",
        "verdict",
    ]);
    for limit in Limit::ALL {
        for how in [How::Played, How::WorkedOut] {
            let of: Vec<&Row> =
                rows.iter().filter(|row| row.counts && row.limit == Some(limit) && row.how == how).collect();
            if of.is_empty() {
                // A limit without any figure still gets a row.
                if how == How::Played && !rows.iter().any(|row| row.counts && row.limit == Some(limit)) {
                    let name = format!("{}: {}", limit.name(), amount(limit.of(plan), limit.unit()));
                    let (none, not) = (NONE.to_owned(), "not measured".to_owned());
                    let nothing = "nothing can be said".to_owned();
                    table.row(&[name, none.clone(), not.clone(), none.clone(), not, none, nothing]);
                }
                continue;
            }
            let sides = [0, 1].map(|side| worst(plan, &of, side));
            let shown = |side: usize| {
                let Some((row, room)) = sides[side] else {
                    let played_void =
                        of.iter().any(|row| row.cells[side].as_ref().is_err_and(|why| why == VOID));
                    return (if played_void { VOID } else { "not measured" }.to_owned(), NONE.to_owned());
                };
                (
                    format!("{}, {}", figure(&row.cells[side], row.unit), row.when.name()),
                    room_of(&row.cells[side], room),
                )
            };
            let ((before, room_before), (after, room_after)) = (shown(0), shown(1));
            let verdict = |row: &Row, room: f64, side: usize| {
                let least = row.cells[side].as_ref().is_ok_and(|value| value.least);
                match (room >= 1.0, least) {
                    (true, false) => "holds".to_owned(),
                    (true, true) => "holds as far as it was measured".to_owned(),
                    (false, _) => format!("missed by {}", digits((1.0 / room).max(1.01))),
                }
            };
            let mut verdict = match sides {
                [_, Some((row, room))] => format!("{} with it", verdict(row, room, 1)),
                [Some((row, room)), None] => format!("{} without it", verdict(row, room, 0)),
                [None, None] => "nothing can be said".to_owned(),
            };
            // Figures of different quantities must not read as a comparison.
            if let [Some((row, _)), Some(_)] = sides
                && row.cells[1].is_err()
            {
                verdict.push_str("; what was most without it was not measured with it");
            }
            let name = format!("{}: {}", limit.name(), amount(limit.of(plan), limit.unit()));
            table.row(&[name, how.name().into(), before, room_before, after, room_after, verdict]);
        }
    }
    table.0
}

fn drivers(work: &Work) -> String {
    let (plan, own) = (work.plan, &work.plan.assumed);
    let mut table = Table::new(&["driver", "figure", "from"]);
    let mut row = |name: &str, figure: String, from: &str| table.row(&[name.into(), figure, from.into()]);
    let told = &plan.told;
    row("plan", plan.name.clone(), "told");
    row("endpoints, each with a sidecar", count(told.endpoints.into()), "told");
    row("services", count(told.services.into()), "told");
    let sizes = plan.services();
    let most = sizes.iter().skip(2).map(|service| service.endpoints).max().unwrap_or(0);
    let least = sizes.iter().map(|service| service.endpoints).min().unwrap_or(0);
    let all = f64::from(told.endpoints) / f64::from(told.services);
    let shown = format!(
        "{} in the mean; hub {}, largest {}, others {least} to {most}",
        digits(all),
        own.hub_endpoints.is,
        own.largest_endpoints.is
    );
    row("endpoints of a service", shown, "assumed");
    row("calls of a sidecar a second, mean", digits(work.calls()), "told");
    let peak = work.calls() * own.peak_over_mean.is;
    row("calls of a sidecar a second, peak", digits(peak), "assumed");
    let called: Vec<String> =
        own.services_called.is.iter().map(|c| format!("{} at {}", c.services, part(c.share))).collect();
    let mean = plan.services_called_mean();
    row(
        "services that a sidecar calls",
        format!("{} in the mean: {}", digits(mean), called.join(", ")),
        "assumed",
    );
    row("servers known without the interest set", count(work.known(false)), "told");
    row("servers known with it, mean sidecar", count(plan.servers_called(mean).round()), "assumed");
    row("servers known with it, widest sidecar", count(work.known(true).round()), "assumed");
    row("changes of the list a second, mean and peak", both(|peak| work.list_changes(peak)), "told, assumed");
    let seen = |peak: bool| work.list_changes(peak) * work.seen(work.known(true));
    row("of these seen by the widest sidecar", both(seen), "assumed");
    let sidecars = format!("{} and {}", count(work.sidecars(false)), count(work.sidecars(true)));
    row("sidecars on a control machine, all standing and one gone", sidecars, "told");
    let zones = format!("{} of {} zones", count(work.zone()), plan.zones());
    row("endpoints of a zone", zones, "assumed");
    let rack = own.machines_a_rack.is * own.endpoints_a_machine.is;
    row("endpoints of a rack", count(rack.into()), "assumed");
    let depths: Vec<String> =
        own.depths.is.iter().map(|d| format!("{} at {}", d.depth, part(d.share))).collect();
    row("depth of a chain", depths.join(", "), "assumed");
    table.0
}

fn both(of: impl Fn(bool) -> f64) -> String {
    format!("{} and {}", digits(of(false)), digits(of(true)))
}

fn changes(plan: &Plan) -> String {
    let mut table = Table::new(&["change", "a day", "a second, mean", "a second, peak", "bytes of one"]);
    let mut sum = [0.0; 3];
    for kind in Change::ALL {
        let rate = plan.change(kind);
        let a_day = rate.mean * 86_400.0;
        sum = [sum[0] + a_day, sum[1] + rate.mean, sum[2] + rate.peak];
        let bytes = amount(rate.bytes, Unit::Bytes);
        table.row(&[kind.name().into(), count(a_day.round()), digits(rate.mean), digits(rate.peak), bytes]);
    }
    table.row(&["all".into(), count(sum[0].round()), digits(sum[1]), digits(sum[2]), NONE.into()]);
    table.0
}

fn of_role(plan: &Plan, rows: &[Row], role: Role) -> String {
    let mut table = Table::new(&[
        "what",
        "when",
        "without the interest set",
        "with it",
        "limit",
        "headroom without, with",
        "how",
        "runs",
        "carried by",
    ]);
    let mut of: Vec<&Row> = rows.iter().filter(|row| row.role == role).collect();
    of.sort_by_key(|row| (row.limit.is_none(), row.limit, row.how, row.when, row.what));
    for row in &of {
        let limit = row.limit.map_or_else(|| NONE.to_owned(), |limit| amount(limit.of(plan), limit.unit()));
        table.row(&[
            row.what.into(),
            row.when.name().into(),
            worked(&row.cells[0], row.unit),
            worked(&row.cells[1], row.unit),
            limit,
            format!("{}, {}", headroom(row, plan, 0), headroom(row, plan, 1)),
            row.how.name().into(),
            from(row),
            row.by.into(),
        ]);
    }
    table.0
}

fn rank(plan: &Plan, rows: &[Row]) -> String {
    let heads = [
        "",
        "limit",
        "of",
        "when",
        "how",
        "without the interest set",
        "headroom",
        "with it",
        "headroom",
        "place with it",
    ];
    let mut table = Table::new(&heads);
    let mut ranked: Vec<&Row> = Vec::new();
    for (limit, how) in
        Limit::ALL.into_iter().flat_map(|limit| [How::Played, How::WorkedOut].map(|how| (limit, how)))
    {
        let of: Vec<&Row> =
            rows.iter().filter(|row| row.counts && row.limit == Some(limit) && row.how == how).collect();
        // For each limit: the situation with the smallest headroom on either side, and all others in which it is missed.
        let least = [0, 1].map(|side| worst(plan, &of, side).map(|(row, _)| std::ptr::from_ref(row)));
        for when in When::ALL {
            let then: Vec<&Row> = of.iter().copied().filter(|row| row.when == when).collect();
            let worst = [0, 1].map(|side| worst(plan, &then, side));
            let Some((row, _)) = worst[0].or(worst[1]) else { continue };
            let missed = worst.iter().flatten().any(|(_, room)| *room < 1.0);
            if missed || least.contains(&Some(std::ptr::from_ref(row))) {
                ranked.push(row);
            }
        }
    }
    let room = |row: &Row, side: usize| row.headroom(plan, side).unwrap_or(f64::INFINITY);
    let first = |row: &Row| row.headroom(plan, 0).unwrap_or_else(|| room(row, 1));
    ranked.sort_by(|a, b| first(a).total_cmp(&first(b)).then(a.limit.cmp(&b.limit)));
    for (n, row) in ranked.iter().enumerate() {
        let after = row.headroom(plan, 1);
        let place = after.map(|after| 1 + ranked.iter().filter(|other| room(other, 1) < after).count());
        table.row(&[
            (n + 1).to_string(),
            row.limit.map_or(NONE, Limit::name).into(),
            format!("{}: {}", row.role.name(), row.what),
            row.when.name().into(),
            row.how.name().into(),
            figure(&row.cells[0], row.unit),
            headroom(row, plan, 0),
            figure(&row.cells[1], row.unit),
            headroom(row, plan, 1),
            place.map_or(NONE.into(), |place| place.to_string()),
        ]);
    }
    table.0
}

/// The failures of the requirements, with the played and worked out figures of each.
fn failures(work: &Work, rows: &[Row]) -> String {
    let plan = work.plan;
    let mut table = Table::new(&[
        "failure",
        "how often",
        "limit",
        "how",
        "without the interest set",
        "headroom",
        "with it",
        "headroom",
        "runs",
    ]);
    let told = &plan.told.failures;
    let often = |when: When| match when {
        When::Restarts => format!("{} a day", count(told.restarts_a_day)),
        When::Zone => format!("{} a year", count(told.zones_a_year)),
        _ => "not told".to_owned(),
    };
    for when in [When::Restarts, When::Zone, When::ControlKilled, When::AllAnew] {
        let before = table.0.len();
        for limit in Limit::ALL {
            for how in [How::Played, How::WorkedOut] {
                let fits =
                    |row: &&Row| row.counts && row.limit == Some(limit) && row.how == how && row.when == when;
                let of: Vec<&Row> = rows.iter().filter(fits).collect();
                let Some((row, _)) = worst(plan, &of, 0).or_else(|| worst(plan, &of, 1)) else { continue };
                table.row(&[
                    when.name().into(),
                    often(when),
                    limit.name().into(),
                    how.name().into(),
                    figure(&row.cells[0], row.unit),
                    headroom(row, plan, 0),
                    figure(&row.cells[1], row.unit),
                    headroom(row, plan, 1),
                    from(row),
                ]);
            }
        }
        if table.0.len() == before {
            nothing(&mut table, when.name(), &often(when), "not played; worked out as changes at peak");
        }
    }
    let machines = format!("{} a day", count(told.machines_a_day));
    let racks = format!("{} a year", count(told.racks_a_year));
    nothing(&mut table, "a machine lost", &machines, "left: not played");
    nothing(&mut table, "a rack or switch lost", &racks, "left: not played");
    let region = format!("{} s now and then", count(told.region_cut_s));
    nothing(&mut table, "regions lose each other", &region, "left: worked out below alone");
    table.0
}

fn nothing(table: &mut Table, name: &str, often: &str, why: &str) {
    let mut cells: Vec<String> = vec![name.into(), often.into(), why.into()];
    cells.resize(9, NONE.into());
    table.row(&cells);
}

/// Bytes to transfer after each loss, and the shortest time for it.
fn recovery(work: &Work, rows: &[Row]) -> String {
    let plan = work.plan;
    let own = &plan.assumed;
    let mut table = Table::new(&[
        "loss",
        "bytes to the widest sidecar, without and with the interest set",
        "at the bytes allowed",
        "bytes from one control machine",
        "at its card",
        "in force everywhere, played",
    ]);
    let bytes = |kind: Change| plan.change(kind).bytes;
    let (comes, drains, goes) =
        (bytes(Change::ServerComes), bytes(Change::ServerDrains), bytes(Change::ServerGoes));
    let rack = f64::from(own.machines_a_rack.is * own.endpoints_a_machine.is);
    let machine = f64::from(own.endpoints_a_machine.is);
    // To the sidecar with the most services; from a control machine to sidecars with the mean number.
    let knows = [[false, true].map(|i| work.known(i)), [false, true].map(|i| work.known_mean(i))];
    let words = |each: f64| knows.map(|known| known.map(|known| each * work.seen(known)));
    let lists = |list: &dyn Fn(f64, bool) -> Value| {
        knows.map(|known| [list(known[0], false), list(known[1], true)].map(|value| value.is))
    };
    let all = lists(&|known, interest| work.whole_list(known, interest));
    let anew = lists(&|known, interest| work.reconnect(known, interest));
    let more = work.sidecars(true) - work.sidecars(false);
    for (name, each, sidecars, when) in [
        ("a machine lost, another comes", words(machine * (goes + comes)), work.sidecars(false), None),
        ("a restart", words(drains + goes + comes), work.sidecars(false), Some(When::Restarts)),
        ("a rack lost, others come", words(rack * (goes + comes)), work.sidecars(false), None),
        ("a zone lost", words(work.zone() * goes), work.sidecars(false), Some(When::Zone)),
        ("the zone's return", words(work.zone() * comes), work.sidecars(false), None),
        ("a control machine killed", anew, more, Some(When::ControlKilled)),
        ("all sidecars anew", all, work.sidecars(false), Some(When::AllAnew)),
    ] {
        let two = |of: [f64; 2], unit: Unit| of.map(|is| amount(is, unit)).join(" and ");
        let [each, mean] = each;
        let out = mean.map(|mean| mean * sidecars);
        let played = when.and_then(|when| {
            let fits =
                |row: &&Row| row.limit == Some(Limit::InForce) && row.how == How::Played && row.when == when;
            let row = rows.iter().find(fits)?;
            Some(row.cells.each_ref().map(|cell| figure(cell, row.unit)).join(" and "))
        });
        table.row(&[
            name.into(),
            two(each, Unit::Bytes),
            two(each.map(|each| each / plan.told.limits.bytes_a_second), Unit::Seconds),
            two(out, Unit::Bytes),
            two(out.map(|out| out / own.control_bytes_a_second.is), Unit::Seconds),
            played.unwrap_or_else(|| "not played".into()),
        ]);
    }
    table.0
}

/// An isolated region; all figures are worked out.
fn region(work: &Work) -> String {
    let plan = work.plan;
    let (told, own) = (&plan.told, &plan.assumed);
    let mut table = Table::new(&["worked out", "without the interest set", "with it, widest sidecar"]);
    let cut = told.failures.region_cut_s;
    let elsewhere = 1.0 - 1.0 / f64::from(told.regions);
    let of_list = |kind: Change| plan.change(kind).mean * cut * elsewhere;
    let list = Change::ALL.into_iter().filter(|kind| kind.is_of_list());
    let bytes: f64 = list.clone().map(|kind| of_list(kind) * plan.change(kind).bytes).sum();
    let words: f64 = list.map(of_list).sum();
    let settings: f64 = (plan.change(Change::SettingsOfOne).mean / f64::from(told.services)
        + plan.change(Change::SettingsOfAll).mean)
        * cut;
    let gone = of_list(Change::ServerGoes);
    let mut row = |name: String, of: [String; 2]| {
        let [before, after] = of;
        table.row(&[name, before, after]);
    };
    let sides = [false, true];
    let seen = |of: f64, i: bool| of * work.seen(work.known(i));
    row("words of the list missed by a sidecar".into(), sides.map(|i| digits(seen(words, i))));
    row("entries held of servers that have gone, at the end".into(), sides.map(|i| digits(seen(gone, i))));
    row(
        "of all entries held, that part is wrong".into(),
        sides.map(|i| part(seen(gone, i) / work.known(i).max(1.0))),
    );
    row("changes of settings missed by a sidecar".into(), [digits(settings), digits(settings)]);
    row(
        "bytes to a sidecar at the return, where versions resume".into(),
        sides.map(|i| amount(seen(bytes, i), Unit::Bytes)),
    );
    let lists = sides.map(|i| work.whole_list(work.known(i), i).is);
    let means = sides.map(|i| work.whole_list(work.known_mean(i), i).is);
    row("bytes to a sidecar at the return, as a whole list".into(), lists.map(|is| amount(is, Unit::Bytes)));
    let region = f64::from(told.endpoints.div_ceil(told.regions));
    row(
        format!("bytes to all {} sidecars of the region, as whole lists", count(region)),
        means.map(|is| amount(is * region, Unit::Bytes)),
    );
    row(
        "that as time, at the bytes allowed to a sidecar".into(),
        lists.map(|is| amount(is / told.limits.bytes_a_second, Unit::Seconds)),
    );
    let card = |is: f64| is * region / own.control_bytes_a_second.is;
    row(
        "that as time, at one control machine's card".into(),
        lists.map(|is| amount(card(is), Unit::Seconds)),
    );
    table.0
}

fn growth(plan: &Plan, results: &Results) -> String {
    let factors = [1.0, 2.0, 10.0];
    let mut table = Table::new(&[
        "limit",
        "when",
        "headroom at 1, without and with",
        "at 2",
        "at 10",
        "breaks without it at about",
        "with it at about",
    ]);
    let plans = factors.map(|factor| plan.grown(factor));
    let grown = plans.each_ref().map(|plan| Work { plan, results }.worked());
    let mut lines: Vec<(f64, Vec<String>)> = Vec::new();
    for (limit, when) in Limit::ALL.into_iter().flat_map(|limit| When::ALL.map(|when| (limit, when))) {
        let fits = |row: &&Row| row.counts && row.limit == Some(limit) && row.when == when;
        // Prefer rows that have a figure at every growth; otherwise different quantities would be compared across sizes.
        let whole = |what: &str, side: usize| {
            let same = |rows: &Vec<Row>| {
                rows.iter().filter(fits).any(|row| row.what == what && row.cells[side].is_ok())
            };
            grown.iter().all(same)
        };
        let room = |n: usize, side: usize| {
            let mut of: Vec<&Row> = grown[n].iter().filter(fits).collect();
            if of.iter().any(|row| whole(row.what, side)) {
                of.retain(|row| whole(row.what, side));
            }
            let worst = worst(&plans[n], &of, side);
            worst.map(|(row, room)| {
                let beyond = row.cells[side].as_ref().is_ok_and(|value| value.beyond);
                (room, format!("{}{}", room_of(&row.cells[side], room), if beyond { " †" } else { "" }))
            })
        };
        let rooms = [0, 1].map(|side| [0, 1, 2].map(|n| room(n, side)));
        if rooms.iter().flatten().all(Option::is_none) {
            continue;
        }
        let shown = |room: &Option<(f64, String)>| {
            room.as_ref().map_or_else(|| "not worked out".to_owned(), |(_, shown)| shown.clone())
        };
        let of = rooms.each_ref().map(|of| of.each_ref().map(|room| room.as_ref().map(|(room, _)| *room)));
        let breaks = of.map(|of| breaks_at(&factors, &of));
        let mut cells = vec![limit.name().to_owned(), when.name().to_owned()];
        cells.extend([0, 1, 2].map(|n| format!("{}, {}", shown(&rooms[0][n]), shown(&rooms[1][n]))));
        let first = breaks[1].as_ref().map_or(f64::INFINITY, |at| at.0);
        cells.extend(breaks.map(|at| at.map_or("not by 10".into(), |at| at.1)));
        let room = of[1][2].or(of[0][2]).unwrap_or(f64::INFINITY);
        lines.push((if first.is_finite() { first } else { 100.0 + room }, cells));
    }
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    lines.iter().for_each(|(_, cells)| table.row(cells));
    table.0
}

/// The growth at which a headroom reaches 1, interpolated on logarithmic scales between two that were worked out.
fn breaks_at(factors: &[f64; 3], rooms: &[Option<f64>; 3]) -> Option<(f64, String)> {
    let rooms = [rooms[0], rooms[1], rooms[2]];
    if let Some(room) = rooms[0].filter(|room| *room < 1.0) {
        return Some((room.min(0.999), "now".into()));
    }
    for n in 1..3 {
        let (Some(low), Some(high)) = (rooms[n - 1], rooms[n]) else { continue };
        if low >= 1.0 && high < 1.0 {
            let way = low.ln() / (low.ln() - high.ln());
            let at = (factors[n - 1].ln() + way * (factors[n].ln() - factors[n - 1].ln())).exp();
            return Some((at, digits(at)));
        }
    }
    None
}

/// A figure of a role in a scenario.
fn seen<'a>(run: &'a Run, day: &str, roles: &[&str], name: &str) -> Option<&'a Seen> {
    let day = run.days.iter().find(|of| of.name == day)?;
    day.figures.iter().find(|seen| roles.contains(&seen.role.as_str()) && seen.name == name)
}

/// The same scenarios at each size that was run.
fn sizes(results: &Results) -> String {
    let mut table = Table::new(&[
        "size",
        "interest set",
        "day",
        "played",
        "in force p50, p99, max",
        "sidecar's bytes in, mean, most in 10 s, most in 1 s",
        "its messages in",
        "its processor time, mean, most",
        "its memory, most",
        "control machine's processor time, bytes out, memory, most",
        "verdict",
        "run",
    ]);
    const SIDECAR: [&str; 2] = ["sidecar", "follower"];
    for (file, run) in &results.runs {
        for day in &run.days {
            let void = day.verdict == Verdict::Void;
            let show = |seen: Option<f64>, unit: Unit| match seen {
                Some(_) if void => VOID.to_owned(),
                seen => seen.map_or(NONE.to_owned(), |is| amount(is, unit)),
            };
            let of = |roles: &[&str], name: &str| seen(run, &day.name, roles, name);
            let force = of(&SIDECAR, "in-force");
            let (bytes, messages) = (of(&SIDECAR, "bytes-in"), of(&SIDECAR, "messages-in"));
            let (cpu, memory) = (of(&SIDECAR, "cpu"), of(&SIDECAR, "memory"));
            let control = ["cpu", "bytes-out", "memory"].map(|name| of(&["control"], name));
            let control = [
                show(control[0].and_then(|seen| seen.max), Unit::PartOfCore),
                show(control[1].and_then(|seen| seen.most_1s.or(seen.max)), Unit::BytesASecond),
                show(control[2].and_then(|seen| seen.max), Unit::Bytes),
            ];
            table.row(&[
                count(run.size.into()),
                if run.interest { "with" } else { "without" }.into(),
                day.name.clone(),
                played(run, day),
                format!(
                    "{}, {}, {}",
                    show(force.and_then(|seen| seen.p50), Unit::Millis),
                    show(force.and_then(|seen| seen.p99), Unit::Millis),
                    show(force.and_then(|seen| seen.max), Unit::Millis)
                ),
                format!(
                    "{}, {}, {}",
                    show(bytes.and_then(|seen| seen.mean), Unit::BytesASecond),
                    show(bytes.and_then(|seen| seen.most_10s), Unit::BytesASecond),
                    show(bytes.and_then(|seen| seen.most_1s), Unit::BytesASecond)
                ),
                show(messages.and_then(|seen| seen.mean), Unit::MessagesASecond),
                format!(
                    "{}, {}",
                    show(cpu.and_then(|seen| seen.mean), Unit::PartOfCore),
                    show(cpu.and_then(|seen| seen.max), Unit::PartOfCore)
                ),
                show(memory.and_then(|seen| seen.max), Unit::Bytes),
                control.join(", "),
                day.verdict.name().into(),
                file.clone(),
            ]);
        }
    }
    or_none(table, results.runs.is_empty(), 12)
}

/// Scenarios with a verdict other than `kept` or with notes.
fn verdicts(results: &Results) -> String {
    let mut table = Table::new(&["size", "interest set", "day", "played", "verdict", "why"]);
    let mut none = true;
    for (_, run) in &results.runs {
        for day in run.days.iter().filter(|day| !day.why.is_empty() || day.verdict.name() != "kept") {
            none = false;
            let (first, more) = (day.why.iter().take(3), day.why.len().saturating_sub(3));
            let mut why: Vec<String> = first.cloned().collect();
            if more > 0 {
                why.push(format!("and {more} more"));
            }
            table.row(&[
                count(run.size.into()),
                if run.interest { "with" } else { "without" }.into(),
                day.name.clone(),
                played(run, day),
                day.verdict.name().into(),
                if why.is_empty() { "no reason told".into() } else { why.join("; ") },
            ]);
        }
    }
    let empty = if results.runs.is_empty() { "not measured" } else { "none: each day was kept" };
    if none {
        let mut cells = vec![empty.to_owned()];
        cells.resize(6, NONE.into());
        table.row(&cells);
    }
    table.0
}

/// Number of sidecars, duration and time compression of a scenario.
fn played(run: &Run, day: &Day) -> String {
    let pressed = digits(run.pressed(day));
    format!(
        "{} hollow, {} real, {} s, pressed {pressed}",
        count(run.hollow.into()),
        run.real,
        digits(day.lasts_s)
    )
}

fn added(results: &Results) -> String {
    let mut table = Table::new(&[
        "servers listed",
        "interest set",
        "calls a second",
        "depth",
        "p99 direct, through",
        "added p50",
        "added p99 (95%)",
        "processor time a call",
        "resident",
        "answered, refused, lost",
        "verdict",
        "run",
    ]);
    let ms = |us: f64| amount(us / 1e3, Unit::Millis);
    for (file, point) in &results.added {
        // The figures of a void point are hidden, as a reader would use them.
        let void = point.verdict == Verdict::Void;
        let told = |text: String| if void { VOID.to_owned() } else { text };
        let why = if point.why.is_empty() { String::new() } else { format!(": {}", point.why.join("; ")) };
        table.row(&[
            count(point.known.into()),
            if point.interest { "with" } else { "without" }.into(),
            digits(point.rate),
            point.depth.to_string(),
            told(format!("{}, {}", ms(point.direct_p99_us), ms(point.through_p99_us))),
            told(ms(point.added_p50_us)),
            told(format!(
                "{} ({} to {})",
                ms(point.added_p99_us),
                ms(point.added_p99_low_us),
                ms(point.added_p99_high_us)
            )),
            told(amount(point.cpu_us_a_call, Unit::Micros)),
            format!("{} (most of {})", amount(point.rss_bytes, Unit::Bytes), point.real),
            format!("{}; {}; {}", answered(point), point.refused, point.lost),
            format!("{}{why}", point.verdict.name()),
            file.clone(),
        ]);
    }
    or_none(table, results.added.is_empty(), 12)
}

fn hollow_real(results: &Results) -> String {
    let heads = ["run", "messages, hollow and real", "bytes", "processor time, hollow over real", "memory"];
    let mut table = Table::new(&heads);
    for (file, ratio) in &results.hollow_real {
        let two = |of: [u64; 2]| of.map(|n| count(n as f64)).join(" and ");
        let same = |of: [u64; 2]| of[0] == of[1];
        let equal = if same(ratio.messages) && same(ratio.bytes) { "equal" } else { "**not equal**" };
        table.row(&[
            file.clone(),
            two(ratio.messages),
            format!("{}: {equal}", two(ratio.bytes)),
            digits(ratio.cpu_ratio),
            digits(ratio.memory_ratio),
        ]);
    }
    or_none(table, results.hollow_real.is_empty(), 5)
}

fn slopes(results: &Results) -> String {
    let heads =
        ["figure", "driver", "measured at: medians", "form", "intercept + slope (95%)", "residual", "run"];
    let mut table = Table::new(&heads);
    let mut none = true;
    for (name, slope) in results.slopes.iter().flatten() {
        let (file, slope) = slope;
        none = false;
        let unit = match slope.unit.as_str() {
            "us" => Unit::Micros,
            "bytes" => Unit::Bytes,
            "part-of-core" => Unit::PartOfCore,
            _ => Unit::Count,
        };
        let show = |value: f64| if unit == Unit::Count { digits(value) } else { amount(value, unit) };
        let points: Vec<String> =
            slope.points.iter().map(|p| format!("{}: {}", count(p.at), show(median(&p.values)))).collect();
        table.row(&[
            name.clone(),
            slope.driver.clone(),
            points.join("; "),
            slope.form.name().into(),
            format!(
                "{} + {} ({} to {})",
                show(slope.intercept),
                show(slope.slope),
                show(slope.slope_low),
                show(slope.slope_high)
            ),
            part(slope.residual),
            file.clone(),
        ]);
    }
    or_none(table, none, 7)
}

fn runs(results: &Results) -> String {
    let mut table = Table::new(&["run", "kind", "commit", "command", "cores", "seed, rounds", "build"]);
    for source in &results.sources {
        let told = |of: Option<u64>| of.map_or(NONE.to_owned(), |of| of.to_string());
        table.row(&[
            source.name.clone(),
            source.kind.clone(),
            if source.commit.is_empty() { "not told".into() } else { source.commit.clone() },
            format!("`{}`", source.command),
            source.cores.to_string(),
            format!("{}, {}", told(source.seed), told(source.rounds)),
            source.profile.clone().unwrap_or_else(|| "not told".into()),
        ]);
    }
    or_none(table, results.sources.is_empty(), 7)
}

fn or_none(mut table: Table, none: bool, width: usize) -> String {
    if none {
        let mut cells = vec!["not measured".to_owned()];
        cells.resize(width, NONE.into());
        table.row(&cells);
    }
    table.0
}

/// The called side: an endpoint of a service of mean size, and its load apart from calls.
fn called(work: &Work) -> String {
    let (plan, own) = (work.plan, &work.plan.assumed);
    let told = &plan.told;
    let mut table = Table::new(&["worked out", "mean service", "hub"]);
    let sidecars = f64::from(told.endpoints);
    let callers = sidecars * (plan.services_called_mean() - 1.0).max(0.0) / f64::from(told.services - 1);
    let mut row = |name: &str, mean: String, hub: String| table.row(&[name.into(), mean, hub]);
    row("sidecars that call it", digits(callers), count(sidecars));
    row("connections to one endpoint, one from each caller", digits(callers), count(sidecars));
    let probes = own.probe_rounds_a_second.is;
    row(
        "probes to one endpoint a second, where each caller's round reaches it",
        digits(callers * probes),
        digits(sidecars * probes),
    );
    let without = digits(sidecars * probes);
    row("the same without the interest set: all sidecars know it", without.clone(), without);
    table.0
}

fn hub(work: &Work) -> String {
    let (plan, own) = (work.plan, &work.plan.assumed);
    let mut table = Table::new(&["worked out", "figure"]);
    let mut row = |name: &str, figure: String| table.row(&[name.into(), figure]);
    let sidecars = f64::from(plan.told.endpoints);
    let hub = f64::from(own.hub_endpoints.is);
    row("servers that each sidecar knows for the hub alone", count(hub));
    row("as a part of those that the widest sidecar knows", part(hub / work.known(true)));
    let restarts = plan.told.failures.restarts_a_day * hub / sidecars;
    row("restarts of hub endpoints a day, each told to every sidecar", digits(restarts));
    let bytes: f64 = [Change::ServerComes, Change::ServerDrains, Change::ServerGoes]
        .map(|kind| plan.change(kind).bytes)
        .iter()
        .sum();
    row("bytes to all sidecars of one such restart", amount(bytes * sidecars, Unit::Bytes));
    table.0
}

/// Slopes of duties; none was run at the plan's size.
fn voter(results: &Results) -> String {
    let mut table = Table::new(&["figure", "at the most members measured", "limit", "how", "runs"]);
    let mut none = true;
    for (name, (file, slope)) in results.slopes[0].iter().filter(|(_, (_, slope))| slope.driver == "members")
    {
        none = false;
        let last = slope.points.iter().max_by(|a, b| a.at.total_cmp(&b.at));
        let unit = match slope.unit.as_str() {
            "us" => Unit::Micros,
            "bytes" => Unit::Bytes,
            _ => Unit::Count,
        };
        let shown = last.map_or(NONE.into(), |point| {
            format!("{} at {}", amount(median(&point.values), unit), count(point.at))
        });
        let cells = [name.as_str(), &shown, "none told", "slope alone, not played", file];
        table.row(&cells.map(str::to_owned));
    }
    or_none(table, none, 5)
}

/// Topics that the page does not cover.
fn left(results: &Results) -> String {
    let mut table = Table::new(&["what", "what is there"]);
    let mut row = |what: &str, there: &str| table.row(&[what.into(), there.into()]);
    let voter = results.slopes[0].values().any(|(_, slope)| slope.driver == "members");
    row(
        "voter and holder of a duty",
        if voter { "slopes alone; not played at the plan's size" } else { "not measured" },
    );
    row("operators' console", "not measured");
    row("the lab itself", "not measured");
    let chain = results.added.iter().any(|(_, point)| point.depth > 1);
    row("a chain 24 deep", if chain { "a point of the table of calls" } else { "not measured" });
    row("a rack or switch lost; a machine lost", "not played; bytes worked out");
    row("a region alone for an hour", "not played; worked out");
    row("hubs", "not played; worked out");
    row("plans doubled", "worked out by this writer; not played");
    table.0
}
