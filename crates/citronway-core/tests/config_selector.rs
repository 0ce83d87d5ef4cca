//! Selectors: syntax, matching, contradictions, and agreement with a naive model.

use citronway_core::config::selector::{Over, Selector, SelectorProblem, Subject};
use citronway_core::request::Labels;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use SelectorProblem as P;

fn word(text: &str) -> String {
    text.to_owned()
}

#[gtest]
fn bad_syntax_is_refused_with_its_column() {
    let cases = [
        ("", 1, P::Empty),
        ("  ", 1, P::Empty),
        ("a=1;b=2", 4, P::BadCharacter(';')),
        ("a=\"x", 3, P::OpenQuote),
        ("=1", 1, P::NoLabel),
        ("a=1,", 5, P::NoLabel),
        ("a=1,,b", 5, P::NoLabel),
        ("\"a\"=1", 1, P::NoLabel),
        ("!", 2, P::NoLabel),
        ("App=1", 1, P::BadLabel(word("App"))),
        ("a=1, -b", 6, P::BadLabel(word("-b"))),
        ("a b", 3, P::NoOperator),
        ("a (x)", 3, P::NoOperator),
        ("a=", 3, P::NoValue),
        ("a==,b", 4, P::NoValue),
        ("a in (x,)", 9, P::NoValue),
        ("a in x", 6, P::NoOpening),
        ("a notin", 8, P::NoOpening),
        ("a in (x", 8, P::NoClosing),
        ("a in (x y)", 9, P::NoClosing),
        ("a in ()", 7, P::EmptySet),
        ("!a=1", 3, P::NoComma),
        ("a=1 b=2", 5, P::NoComma),
        ("ą=1", 1, P::BadCharacter('ą')),
    ];
    for (text, column, problem) in cases {
        let error = Selector::parse(text).expect_err(text);
        expect_that!(
            (error.column, error.problem),
            eq(&(column, problem)),
            "in `{text}`"
        );
    }
    let long = format!("a={}", "x".repeat(4096));
    expect_that!(
        Selector::parse(&long).map_err(|e| e.problem),
        err(eq(&P::TooLong))
    );
}

#[gtest]
fn contradictions_are_found_at_the_requirement_that_excludes_the_others() {
    let labels = [
        ("a=1,a=2", 5),
        ("a,!a", 3),
        ("!a,a=1", 4),
        ("a in (x),a notin (x)", 10),
        ("b,a in (x,y),a!=x,a!=y", 19),
    ];
    let keys = [
        ("!key", 1),
        ("a=1,!part0", 5),
        ("part0=a/b", 1),
        ("part2=x,!part1", 9),
        ("part0=x,key in (a/b,y)", 9),
    ];
    let all = labels.map(|case| (Over::Labels, case)).into_iter();
    for (over, (text, column)) in all.chain(keys.map(|case| (Over::Keys, case))) {
        let selector = Selector::parse(text).expect(text);
        let found = selector.contradiction(over).map(|error| error.column);
        expect_that!(found, some(eq(column)), "in `{text}`");
    }
}

#[gtest]
fn keys_are_matched_by_their_parts() {
    let cases = [
        ("part0=pko", "pko/orders/7", true),
        ("part0=pko", "mbank/pko", false),
        ("part2", "pko/orders", false),
        ("!part2,part1!=orders", "pko/users", true),
        ("key=\"pko/or ders\"", "pko/or ders", true),
        ("part01", "pko/orders", false),
        ("part1=\"\"", "pko/", true),
    ];
    for (text, key, expected) in cases {
        let selector = Selector::parse(text).expect(text);
        let matched = selector.matches(Subject::Key(key));
        expect_that!(matched, eq(expected), "`{text}` of `{key}`");
    }
}

#[derive(Debug, Clone, Copy)]
enum Op {
    Equal,
    NotEqual,
    In,
    NotIn,
    Exists,
    Absent,
}

/// A requirement of the naive model.
#[derive(Debug, Clone)]
struct Naive {
    label: &'static str,
    op: Op,
    values: Vec<String>,
}

impl Naive {
    fn text(&self) -> String {
        let quote = |v: &String| format!("\"{}\"", v.replace('\\', "\\\\").replace('"', "\\\""));
        let values: Vec<String> = self.values.iter().map(quote).collect();
        let label = self.label;
        match self.op {
            Op::Equal => format!("{label} == {}", values[0]),
            Op::NotEqual => format!("{label}!={}", values[0]),
            Op::In => format!("{label} in ({})", values.join(", ")),
            Op::NotIn => format!("{label} notin({})", values.join(",")),
            Op::Exists => format!(" {label} "),
            Op::Absent => format!("! {label}"),
        }
    }

    fn holds(&self, value: Option<&str>) -> bool {
        let listed = value.map(|v| self.values.iter().any(|w| w == v));
        match self.op {
            Op::Equal => value == Some(self.values[0].as_str()),
            Op::NotEqual => value != Some(self.values[0].as_str()),
            Op::In => listed == Some(true),
            Op::NotIn => listed != Some(true),
            Op::Exists => value.is_some(),
            Op::Absent => value.is_none(),
        }
    }
}

fn op() -> impl Strategy<Value = Op> {
    use Op::{Absent, Equal, Exists, In, NotEqual, NotIn};
    prop::sample::select(vec![Equal, NotEqual, In, NotIn, Exists, Absent])
}

fn naive(
    names: &'static [&'static str],
    value: BoxedStrategy<String>,
) -> impl Strategy<Value = Vec<Naive>> {
    let one = (
        prop::sample::select(names),
        op(),
        prop::collection::vec(value, 1..3),
    );
    let one = one.prop_map(|(label, op, values)| Naive { label, op, values });
    prop::collection::vec(one, 1..5)
}

fn few() -> BoxedStrategy<String> {
    prop::sample::select(vec![word("x"), word("y")]).boxed()
}

fn key_values() -> BoxedStrategy<String> {
    let values = ["x", "y", "x/y", "x/x/y", ""];
    prop::sample::select(values.map(word).to_vec()).boxed()
}

fn text(all: &[Naive]) -> String {
    let texts: Vec<String> = all.iter().map(Naive::text).collect();
    texts.join(",")
}

fn parsed(all: &[Naive]) -> Selector {
    Selector::parse(&text(all)).expect("the model writes well formed selectors")
}

/// Each combination of labels `a` and `b`, absent or with one of three values;
/// `z` stands for all values that no selector names.
fn all_labels() -> Vec<Labels> {
    let values = [None, Some("x"), Some("y"), Some("z")];
    let mut all = Vec::new();
    for a in values {
        for b in values {
            let pairs = [("a", a), ("b", b)].into_iter();
            let present = pairs.filter_map(|(label, value)| Some((word(label), word(value?))));
            all.push(present.collect());
        }
    }
    all
}

fn all_keys() -> Vec<String> {
    let parts = ["x", "y", "z", ""];
    let mut all: Vec<String> = parts.map(word).to_vec();
    for _ in 0..2 {
        let longer = all
            .iter()
            .flat_map(|key| parts.map(|part| format!("{key}/{part}")));
        let longer: Vec<String> = longer.collect();
        all.extend(longer);
    }
    all
}

fn cfg() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(20_260_701),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(cfg())]

    #[test]
    fn printing_and_parsing_gives_the_same(all in naive(&["a", "in", "notin", "part0"], any::<String>().boxed())) {
        let selector = parsed(&all);
        let again = Selector::parse(&selector.to_string()).expect("printed form is well formed");
        prop_assert_eq!(&again, &selector);
        prop_assert_eq!(again.to_string(), selector.to_string());
    }

    #[test]
    fn matcher_agrees_with_the_model(all in naive(&["a", "b"], few())) {
        let selector = parsed(&all);
        for labels in all_labels() {
            let expected = all.iter().all(|r| r.holds(labels.get(r.label).map(String::as_str)));
            prop_assert_eq!(selector.matches_labels(&labels), expected, "{}", selector);
        }
    }

    #[test]
    fn a_contradiction_is_found_exactly_when_no_labels_match(all in naive(&["a", "b"], few())) {
        let selector = parsed(&all);
        let matched = all_labels().iter().any(|labels| selector.matches_labels(labels));
        prop_assert_eq!(selector.contradiction(Over::Labels).is_none(), matched, "{}", selector);
    }

    #[test]
    fn a_contradiction_over_keys_matches_no_key(all in naive(&["key", "part0", "part1", "part2"], key_values())) {
        let selector = parsed(&all);
        if selector.contradiction(Over::Keys).is_some() {
            let matched = all_keys().into_iter().find(|key| selector.matches(Subject::Key(key)));
            prop_assert_eq!(matched, None, "{}", selector);
        }
    }

    #[test]
    fn a_covering_selector_matches_all_that_the_covered_one_does(
        wide in naive(&["key", "part0", "part1"], key_values()),
        narrow in naive(&["key", "part0", "part1"], key_values()),
    ) {
        let (wide, narrow) = (parsed(&wide[..1]), parsed(&narrow));
        if wide.covers(&narrow, Over::Keys) {
            for key in all_keys() {
                let subject = Subject::Key(&key);
                prop_assert!(!narrow.matches(subject) || wide.matches(subject), "{}", key);
            }
        }
    }
}
