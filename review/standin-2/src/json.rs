//! A small reader of JSON, enough for what instances write to the store.

use std::collections::BTreeMap;

#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn read(bytes: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        Some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Map(map) => map.get(key),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> &str {
        match self.get(key) {
            Some(Json::Text(text)) => text,
            _ => "",
        }
    }

    pub fn number(&self, key: &str) -> f64 {
        match self.get(key) {
            Some(Json::Number(number)) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self, key: &str) -> &[Json] {
        match self.get(key) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Map(map));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = text(bytes, at)?;
                        skip(bytes, at);
                        if bytes.get(*at)? != &b':' {
                            return None;
                        }
                        *at += 1;
                        map.insert(key, value(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(value(bytes, at)?),
                }
            }
        }
        b'"' => text(bytes, at).map(Json::Text),
        b't' => word(bytes, at, b"true", Json::Bool),
        b'f' => word(bytes, at, b"false", Json::Bool),
        b'n' => word(bytes, at, b"null", Json::Null),
        _ => {
            let from = *at;
            while bytes
                .get(*at)
                .is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b))
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[from..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, word: &[u8], value: Json) -> Option<Json> {
    if !bytes[*at..].starts_with(word) {
        return None;
    }
    *at += word.len();
    Some(value)
}

fn text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if bytes.get(*at)? != &b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        *at += 4;
                        let mut buf = [0; 4];
                        out.extend(char::from_u32(code)?.encode_utf8(&mut buf).bytes());
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                let digit = (n >> (18 - 6 * i)) & 63;
                out.push(char::from(DIGITS[digit as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
