//! Order and admission of waiting requests under overload.
