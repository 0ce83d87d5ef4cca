//! Splits the text of a selector into tokens.

use super::super::names::is_value_byte;
use super::problem::{SelectorError, SelectorProblem};

/// A token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Token {
    /// A name, a value, `in` or `notin`.
    Word(String),
    /// A value in quotes.
    Quoted(String),
    /// `=` or `==`.
    Equal,
    /// `!=`.
    NotEqual,
    /// `!`.
    Not,
    /// `(`.
    Open,
    /// `)`.
    Close,
    /// `,`.
    Comma,
    /// End of the text.
    End,
}

/// A token and the column where it begins, in characters from 1.
#[derive(Debug, Clone)]
pub(super) struct Located {
    pub(super) token: Token,
    pub(super) column: usize,
}

/// Splits the text; the last token is always [`Token::End`].
pub(super) fn split(text: &str) -> Result<Vec<Located>, SelectorError> {
    let chars: Vec<char> = text.chars().collect();
    let mut tokens = Vec::new();
    let mut at = 0;
    while at < chars.len() {
        if chars[at].is_whitespace() {
            at += 1;
            continue;
        }
        let (token, length) = next(&chars[at..]).map_err(|problem| SelectorError {
            column: at + 1,
            problem,
        })?;
        tokens.push(Located {
            token,
            column: at + 1,
        });
        at += length;
    }
    tokens.push(Located {
        token: Token::End,
        column: chars.len() + 1,
    });
    Ok(tokens)
}

/// First token of the rest, and how many characters it takes.
fn next(rest: &[char]) -> Result<(Token, usize), SelectorProblem> {
    match rest {
        ['=', '=', ..] => Ok((Token::Equal, 2)),
        ['=', ..] => Ok((Token::Equal, 1)),
        ['!', '=', ..] => Ok((Token::NotEqual, 2)),
        ['!', ..] => Ok((Token::Not, 1)),
        ['(', ..] => Ok((Token::Open, 1)),
        [')', ..] => Ok((Token::Close, 1)),
        [',', ..] => Ok((Token::Comma, 1)),
        ['"', inner @ ..] => quoted(inner),
        [c, ..] if !is_word_char(*c) => Err(SelectorProblem::BadCharacter(*c)),
        _ => Ok(word(rest)),
    }
}

fn word(rest: &[char]) -> (Token, usize) {
    let text: String = rest
        .iter()
        .copied()
        .take_while(|c| is_word_char(*c))
        .collect();
    let length = text.len();
    (Token::Word(text), length)
}

/// A value after its opening quote; `\` takes the next character as it is.
fn quoted(inner: &[char]) -> Result<(Token, usize), SelectorProblem> {
    let mut text = String::new();
    let mut escaped = false;
    for (index, &c) in inner.iter().enumerate() {
        if escaped {
            text.push(c);
            escaped = false;
            continue;
        }
        match c {
            '\\' => escaped = true,
            '"' => return Ok((Token::Quoted(text), index + 2)),
            _ => text.push(c),
        }
    }
    Err(SelectorProblem::OpenQuote)
}

fn is_word_char(c: char) -> bool {
    u8::try_from(c).is_ok_and(is_value_byte)
}
