/// \file
/// Reads one HTTP message in steps.
#pragma once

#include "net/asio.h"

#include <algorithm>
#include <exception>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mimosacart {

/// Size limits of a message that is read.
struct MessageLimits {
  /// Limit on the header section, on the trailer section and on each line of a
  /// chunked body.
  std::size_t HeaderBytes = 0;
  std::size_t BodyBytes = 0;
};

/// Parses a request (\p IsRequest) or a response from the bytes that its owner
/// reads.
///
/// Beast throws on some messages, for example on a field of more than 65,533
/// bytes. Its own asynchronous reads would pass that on to the event loop, so
/// this class calls the parser itself and turns exceptions into errors.
template <bool IsRequest> class MessageReader {
public:
  /// The reader takes its bytes from \p Buffer, which keeps those that follow
  /// the message. A message without a body (\p HasNoBody), such as the response
  /// to a HEAD request, ends with its header whatever length it declares.
  MessageReader(beast::flat_buffer &Buffer, const MessageLimits &Limits,
                bool HasNoBody = false)
      : Buffer(Buffer), Limits(Limits) {
    constexpr std::size_t MaxHeaderLimit = 64U << 20U;
    Parser.header_limit(static_cast<std::uint32_t>(
        std::min(Limits.HeaderBytes, MaxHeaderLimit)));
    Parser.body_limit(Limits.BodyBytes);
    Parser.skip(HasNoBody);
  }

  /// Returns space in the buffer for the next read.
  asio::mutable_buffer prepare() { return Buffer.prepare(nextReadBytes()); }

  /// Parses after \p Bytes have been read into the space from prepare().
  std::optional<MessageError> parse(std::size_t Bytes) {
    Buffer.commit(Bytes);
    return guarded([this] { return parseBuffer(); });
  }

  /// Parses the end of the connection, which ends some responses.
  std::optional<MessageError> parseEnd() {
    return guarded([this]() -> std::optional<MessageError> {
      beast::error_code Error;
      if (Parser.got_some())
        Parser.put_eof(Error);
      if (Error || !Parser.is_done())
        return MessageError{NetError::Broken,
                            "the connection ended within the message"};
      return std::nullopt;
    });
  }

  bool isDone() const { return Parser.is_done(); }
  /// The message; its fields may include those of a trailer section.
  const auto &message() const { return Parser.get(); }
  /// Whether the connection may be used for further messages.
  bool keepAlive() const { return KeepAlive; }
  /// Returns the fields of the header section. Those of a trailer section are
  /// dropped, because they must not count as header fields (RFC 9110, section
  /// 6.5.1).
  std::vector<HeaderField> takeFields() { return std::move(Fields); }
  std::string takeBody() { return std::move(Parser.get().body()); }

private:
  static constexpr std::size_t HeaderReadBytes = 4U << 10U;
  static constexpr std::size_t BodyReadBytes = 64U << 10U;

  std::size_t nextReadBytes() const {
    return Parser.is_header_done() ? BodyReadBytes : HeaderReadBytes;
  }

  template <typename Step>
  std::optional<MessageError> guarded(const Step &Run) {
    try {
      return Run();
    } catch (const std::exception &Thrown) {
      return MessageError{NetError::Malformed, Thrown.what()};
    }
  }

  std::optional<MessageError> parseBuffer() {
    while (!Parser.is_done() && Buffer.size() > 0) {
      const bool HadHeader = Parser.is_header_done();
      beast::error_code Error;
      Buffer.consume(Parser.put(Buffer.data(), Error));
      if (Error == http::error::need_more)
        return checkUnparsed();
      if (Error)
        return toMessageError(Error);
      if (HadHeader || !Parser.is_header_done())
        continue;
      if (const auto Invalid = onHeader())
        return Invalid;
    }
    return std::nullopt;
  }

  /// The parser limits neither trailers nor the lines of a chunked body.
  std::optional<MessageError> checkUnparsed() const {
    if (!Parser.is_header_done() || Buffer.size() <= Limits.HeaderBytes)
      return std::nullopt;
    return MessageError{NetError::HeaderTooLarge,
                        "a trailer or a line of a chunked body is too long"};
  }

  std::optional<MessageError> onHeader() {
    Fields = copyFields(Parser.get());
    KeepAlive = Parser.get().keep_alive();
    // Beast 1.74 does not check the declared length of a response.
    const auto Length = Parser.content_length();
    if (Parser.is_done() || !Length || *Length <= Limits.BodyBytes)
      return std::nullopt;
    return MessageError{NetError::BodyTooLarge,
                        "the declared length exceeds the limit"};
  }

  static MessageError toMessageError(const beast::error_code &Error) {
    if (Error == http::error::header_limit)
      return {NetError::HeaderTooLarge, Error.message()};
    if (Error == http::error::body_limit)
      return {NetError::BodyTooLarge, Error.message()};
    return {NetError::Malformed, Error.message()};
  }

  beast::flat_buffer &Buffer;
  const MessageLimits Limits;
  http::parser<IsRequest, http::string_body> Parser;
  std::vector<HeaderField> Fields;
  bool KeepAlive = false;
};

} // namespace mimosacart
