//! Parses selectors.

use indexmap::IndexSet;

use super::super::names::is_name;
use super::problem::{SelectorError, SelectorProblem};
use super::token::{self, Located, Token};
use super::{Requirement, Selector, Term, Test};

/// Most characters of a selector.
const MAX_LENGTH: usize = 4096;

/// Word of the operator `in`.
const IN: &str = "in";

/// Word of the operator `notin`.
const NOT_IN: &str = "notin";

/// Parses the text of a selector.
pub(super) fn selector(text: &str) -> Result<Selector, SelectorError> {
    if text.trim().is_empty() {
        return Err(error(1, SelectorProblem::Empty));
    }
    if text.chars().count() > MAX_LENGTH {
        return Err(error(MAX_LENGTH + 1, SelectorProblem::TooLong));
    }
    let mut parser = Parser {
        tokens: token::split(text)?,
        at: 0,
    };
    parser.terms()
}

struct Parser {
    tokens: Vec<Located>,
    at: usize,
}

impl Parser {
    fn terms(&mut self) -> Result<Selector, SelectorError> {
        let mut terms = Vec::new();
        loop {
            terms.push(self.term()?);
            let next = self.take();
            match next.token {
                Token::Comma => {}
                Token::End => return Ok(Selector { terms }),
                _ => return Err(error(next.column, SelectorProblem::NoComma)),
            }
        }
    }

    fn term(&mut self) -> Result<Term, SelectorError> {
        let column = self.peek().column;
        let absent = self.peek().token == Token::Not;
        if absent {
            self.take();
        }
        let label = self.label()?;
        let test = if absent { Test::Absent } else { self.test()? };
        Ok(Term {
            requirement: Requirement { label, test },
            column,
        })
    }

    fn label(&mut self) -> Result<String, SelectorError> {
        let next = self.take();
        let Token::Word(word) = next.token else {
            return Err(error(next.column, SelectorProblem::NoLabel));
        };
        if is_name(&word) {
            return Ok(word);
        }
        Err(error(next.column, SelectorProblem::BadLabel(word)))
    }

    fn test(&mut self) -> Result<Test, SelectorError> {
        match &self.peek().token {
            Token::Comma | Token::End => return Ok(Test::Exists),
            Token::Equal | Token::NotEqual => {}
            Token::Word(word) if word == IN || word == NOT_IN => {}
            _ => return Err(error(self.peek().column, SelectorProblem::NoOperator)),
        }
        match self.take().token {
            Token::Equal => Ok(Test::In(self.one_value()?)),
            Token::NotEqual => Ok(Test::NotIn(self.one_value()?)),
            Token::Word(word) if word == IN => Ok(Test::In(self.values()?)),
            _ => Ok(Test::NotIn(self.values()?)),
        }
    }

    fn one_value(&mut self) -> Result<IndexSet<String>, SelectorError> {
        Ok(IndexSet::from([self.value()?]))
    }

    fn values(&mut self) -> Result<IndexSet<String>, SelectorError> {
        let open = self.take();
        if open.token != Token::Open {
            return Err(error(open.column, SelectorProblem::NoOpening));
        }
        if self.peek().token == Token::Close {
            return Err(error(self.peek().column, SelectorProblem::EmptySet));
        }
        let mut values = IndexSet::new();
        loop {
            values.insert(self.value()?);
            let next = self.take();
            match next.token {
                Token::Comma => {}
                Token::Close => return Ok(values),
                _ => return Err(error(next.column, SelectorProblem::NoClosing)),
            }
        }
    }

    fn value(&mut self) -> Result<String, SelectorError> {
        let next = self.take();
        match next.token {
            Token::Word(text) | Token::Quoted(text) => Ok(text),
            _ => Err(error(next.column, SelectorProblem::NoValue)),
        }
    }

    fn peek(&self) -> &Located {
        &self.tokens[self.at]
    }

    /// Takes the next token; the end is never passed.
    fn take(&mut self) -> Located {
        let next = self.peek().clone();
        if next.token != Token::End {
            self.at += 1;
        }
        next
    }
}

const fn error(column: usize, problem: SelectorProblem) -> SelectorError {
    SelectorError { column, problem }
}
