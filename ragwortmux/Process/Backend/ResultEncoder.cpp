#include "ragwortmux/Process/Backend/ResultEncoder.h"

#include "ragwortmux/Connection/Codec/PgMessageWriter.h"

#include <libpq-fe.h>

#include <vector>

namespace ragwortmux {

namespace {

std::string field(const PGresult *Result, int Code) {
  const char *Text = PQresultErrorField(Result, Code);
  return Text == nullptr ? "" : Text;
}

void encodeHeader(const PGresult *Result, PgMessageWriter &Writer) {
  std::vector<PgColumn> Columns;
  const int Count = PQnfields(Result);
  Columns.reserve(static_cast<std::size_t>(Count));
  for (int Column = 0; Column < Count; ++Column) {
    PgColumn Description;
    Description.m_Name = PQfname(Result, Column);
    Description.m_TypeOid = PQftype(Result, Column);
    Description.m_TypeSize = static_cast<std::int16_t>(PQfsize(Result, Column));
    Description.m_TypeModifier = PQfmod(Result, Column);
    Columns.push_back(std::move(Description));
  }
  Writer.rowDescription(Columns);
}

void encodeRow(const PGresult *Result, int Row, PgMessageWriter &Writer) {
  PgRow Values;
  const int Count = PQnfields(Result);
  Values.reserve(static_cast<std::size_t>(Count));
  for (int Column = 0; Column < Count; ++Column) {
    if (PQgetisnull(Result, Row, Column) != 0) {
      Values.emplace_back(std::nullopt);
      continue;
    }
    const auto Length =
        static_cast<std::size_t>(PQgetlength(Result, Row, Column));
    Values.emplace_back(std::string(PQgetvalue(Result, Row, Column), Length));
  }
  Writer.dataRow(Values);
}

void encodeError(const PGresult *Result, PgMessageWriter &Writer) {
  PgError Error;
  Error.m_SqlState = field(Result, PG_DIAG_SQLSTATE);
  Error.m_Message = field(Result, PG_DIAG_MESSAGE_PRIMARY);
  Error.m_Detail = field(Result, PG_DIAG_MESSAGE_DETAIL);
  Error.m_Hint = field(Result, PG_DIAG_MESSAGE_HINT);
  Writer.errorResponse(Error);
}

} // namespace

void encodeResult(const pg_result &Result, bool IsHeaderEncoded,
                  std::string &Output) {
  PgMessageWriter Writer(Output);
  // PQcmdStatus takes a non-const result although it only reads it.
  auto *Mutable = const_cast<PGresult *>(&Result);
  switch (PQresultStatus(&Result)) {
  case PGRES_EMPTY_QUERY:
    Writer.emptyQueryResponse();
    return;
  case PGRES_COMMAND_OK:
    Writer.commandComplete(PQcmdStatus(Mutable));
    return;
  case PGRES_SINGLE_TUPLE:
  case PGRES_TUPLES_OK:
    if (!IsHeaderEncoded) {
      encodeHeader(&Result, Writer);
    }
    for (int Row = 0; Row < PQntuples(&Result); ++Row) {
      encodeRow(&Result, Row, Writer);
    }
    if (PQresultStatus(&Result) == PGRES_TUPLES_OK) {
      Writer.commandComplete(PQcmdStatus(Mutable));
    }
    return;
  default:
    encodeError(&Result, Writer);
    return;
  }
}

} // namespace ragwortmux
