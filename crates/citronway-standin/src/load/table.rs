//! The report for people.

use std::fmt::{self, Display};

use super::report::{ClassFigures, Report};

impl Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let policy = self.policy.unwrap_or("default policy");
        let (deployment, scenario) = (self.deployment, self.scenario);
        writeln!(
            f,
            "{deployment:?}, {policy}, {scenario:?}, {} s",
            self.seconds
        )?;
        writeln!(
            f,
            "{:<12} {:>9} {:>9} {:>9} {:>9} {:>9} {:>8} {:>8} {:>6}",
            "class",
            "offered/s",
            "goodput/s",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "not run",
            "may have",
            "lost",
        )?;
        for (name, class) in &self.classes {
            write_class(f, name, class)?;
        }
        self.write_whole(f)?;
        writeln!(f, "broken promises: {:?}", self.broken)
    }
}

impl Report {
    fn write_whole(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = &self.whole;
        let lines = [
            ("peak work above slots", f64::from(whole.peak_above_slots)),
            ("shed by endpoints", whole.shed as f64),
            ("shards, max/mean", whole.shard_imbalance),
            ("runs, max/mean", whole.run_imbalance),
            ("part of shards moved", whole.moved),
            ("longest gap of a key, s", whole.longest_gap_s),
            ("gaps of all keys, s", whole.gaps_s),
            ("keys with a gap", whole.keys_hit as f64),
            ("store, bytes", whole.store_bytes as f64),
            ("store, reads/s", whole.store_reads),
            ("store, writes", whole.store_writes as f64),
        ];
        for (what, figure) in lines {
            writeln!(f, "{what:<30} {figure:>12.3}")?;
        }
        self.write_entries(f)?;
        for (name, class) in &self.classes {
            writeln!(f, "reasons, {name}: {:?}", class.tally.reasons)?;
        }
        Ok(())
    }

    fn write_entries(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines = [
            ("control bytes/s of an entry", self.whole.control_bytes),
            ("CPU of an entry, mean cores", self.whole.cpu_mean),
            ("CPU of an entry, max cores", self.whole.cpu_max),
        ];
        for (what, figure) in lines {
            match figure {
                Some(figure) => writeln!(f, "{what:<30} {figure:>12.3}")?,
                None => writeln!(f, "{what:<30} {:>12}", "not known")?,
            }
        }
        Ok(())
    }
}

fn write_class(f: &mut fmt::Formatter<'_>, name: &str, class: &ClassFigures) -> fmt::Result {
    let (latency, tally) = (&class.latency_ms, &class.tally);
    writeln!(
        f,
        "{name:<12} {:>9.1} {:>9.1} {:>9.1} {:>9.1} {:>9.1} {:>8} {:>8} {:>6}",
        class.offered,
        class.goodput,
        latency.p50,
        latency.p99,
        latency.p999,
        tally.not_run,
        tally.may_have_run,
        tally.lost + tally.not_sent,
    )
}
