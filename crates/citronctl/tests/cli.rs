//! What the command line understands.

use bpaf::{Args, ParseFailure};
use citronctl::cli::{ChangeCommand, Command, code, parse_args};
use citronctl::create::Create;
use citronctl::words::{LabelEdit, Labelled, Output, Resource};
use googletest::prelude::*;

fn parse(line: &str) -> std::result::Result<Command, ParseFailure> {
    let words: Vec<&str> = line.split_whitespace().collect();
    parse_args(Args::from(words.as_slice()).set_name("citronctl"))
}

fn change(line: &str) -> ChangeCommand {
    match parse(line) {
        Ok(Command::Change(change)) => change,
        other => panic!("{other:?}"),
    }
}

#[gtest]
fn queries_name_a_resource_and_a_form() {
    let Ok(Command::Get {
        stored,
        target,
        what,
    }) = parse("get endpoints --server 127.0.0.1:7 --output json")
    else {
        panic!("get");
    };
    expect_that!((what, stored), eq((Resource::Endpoints, false)));
    expect_that!(target.output, eq(Output::Json));
    expect_that!(target.server.port(), eq(7));
}

#[gtest]
fn labels_are_set_and_removed() {
    let line = "label endpoint lab-3 site=suva tier- note=a=b --wait 5 --server 127.0.0.1:7";
    let ChangeCommand::Label {
        condition,
        kind,
        name,
        labels,
    } = change(line)
    else {
        panic!("label");
    };
    let set = |name: &str, value: &str| LabelEdit::Set {
        name: name.to_owned(),
        value: value.to_owned(),
    };
    let unset = LabelEdit::Unset {
        name: "tier".to_owned(),
    };
    expect_that!((kind, name.as_str()), eq((Labelled::Endpoint, "lab-3")));
    expect_that!(
        labels,
        eq(&vec![set("site", "suva"), unset, set("note", "a=b")])
    );
    expect_that!(
        (condition.wait, condition.version_expected),
        eq((Some(5), None))
    );
}

#[gtest]
fn an_endpoint_is_created_with_all_it_needs() {
    let line = "create endpoint lab-9 --address 10.0.0.9:80 --zone suva --slots 2 \
                --label app=lab --label site=suva --checks-orders --server 127.0.0.1:7";
    let ChangeCommand::Create {
        what: Create::Endpoint(new),
    } = change(line)
    else {
        panic!("create");
    };
    let endpoint = new.endpoint();
    expect_that!((endpoint.slots, endpoint.connections), eq((2, 128)));
    expect_that!((endpoint.checks_orders, endpoint.drain), eq((true, false)));
    expect_that!(endpoint.labels.len(), eq(2));
}

#[gtest]
fn a_wrong_line_says_what_is_wrong_and_is_a_usage_error() {
    for (line, word) in [
        ("get everything --server 127.0.0.1:7", "everything"),
        ("get config --server nowhere", "nowhere"),
        (
            "label endpoint lab-3 site --server 127.0.0.1:7",
            "NAME=VALUE",
        ),
        ("label endpoint lab-3 --server 127.0.0.1:7", "at least one"),
        ("create service x --server 127.0.0.1:7", "default-class"),
        ("completion tcsh", "tcsh"),
        ("frobnicate", "frobnicate"),
    ] {
        let failure = parse(line).unwrap_err();
        expect_that!(code(&failure), eq(2), "{line}");
        expect_that!(failure.unwrap_stderr(), contains_substring(word), "{line}");
    }
}

#[gtest]
fn help_has_examples_and_exit_codes() {
    let failure = parse("--help").unwrap_err();
    expect_that!(code(&failure), eq(0));
    let help = failure.unwrap_stdout();
    for text in [
        "label endpoint lab-3 site=suva",
        "apply -f config.json",
        "3 conflict",
    ] {
        expect_that!(help, contains_substring(text));
    }
}
